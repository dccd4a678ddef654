package settings

// FlagSet is the part of a command-line library's command that Bind needs.
type FlagSet interface {
	String(variable *string, shortName, longName, description string)
}

// Flags holds the values of the flags that Bind added.
type Flags struct {
	values map[string]*string // by field name
}

// Bind adds a flag to set for every field.
func Bind(set FlagSet) *Flags {
	flags := &Flags{values: make(map[string]*string, len(Fields))}
	for _, field := range Fields {
		value := new(string)
		flags.values[field.Name] = value
		set.String(value, "", field.Flag(), field.help())
	}
	return flags
}

// Overrides returns the values of the flags that were given, by field name, for Load.
func (f *Flags) Overrides() map[string]string {
	overrides := make(map[string]string)
	for name, text := range f.values {
		if *text != "" {
			overrides[name] = *text
		}
	}
	return overrides
}

// help returns the one-line help text of the field's flag.
func (f Field) help() string {
	text := f.Description + " (" + f.Unit
	if f.Default != "" {
		text += ", default " + f.Default
	}
	return text + ")"
}
