package settings

// FlagSet is what Bind needs of a command line library's command.
type FlagSet interface {
	String(variable *string, shortName, longName, description string)
}

// Flags holds the texts of the flags that Bind has added.
type Flags struct {
	texts map[string]*string // by field name
}

// Bind adds a flag for every field to set.
func Bind(set FlagSet) *Flags {
	flags := &Flags{texts: make(map[string]*string, len(Fields))}
	for _, field := range Fields {
		text := new(string)
		flags.texts[field.Name] = text
		set.String(text, "", field.Flag(), field.help())
	}
	return flags
}

// Overrides returns the flags that were given, for Load.
func (f *Flags) Overrides() map[string]string {
	overrides := make(map[string]string)
	for name, text := range f.texts {
		if *text != "" {
			overrides[name] = *text
		}
	}
	return overrides
}

// help describes the field in one line.
func (f Field) help() string {
	text := f.Description + " (" + f.Unit
	if f.Default != "" {
		text += ", default " + f.Default
	}
	return text + ")"
}
