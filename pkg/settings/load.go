package settings

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/security"
	"martenwheel.dev/pkg/settings/document"
)

// Load reads the settings file at path, unless path is empty, and then applies overrides, which map
// field names to values. The error is a *findings.Error with all findings, each located by file,
// line and name, or by its flag.
func Load(path string, overrides map[string]string) (Settings, error) {
	var data []byte
	if path != "" {
		read, err := readFile(path)
		if err != nil {
			var found findings.List
			found.Addf(path, "%v", err)
			return Settings{}, found.Err()
		}
		data = read
	}
	return Parse(path, data, overrides)
}

// readFile reads a file of at most maxFileBytes.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open settings")
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	if len(data) > maxFileBytes {
		return nil, errors.Errorf("is larger than %d bytes", maxFileBytes)
	}
	return data, nil
}

// Parse is Load for the contents of a file; name is the file's name in findings.
func Parse(name string, data []byte, overrides map[string]string) (Settings, error) {
	loader := loader{file: name, settings: Default(), places: make(map[string]string)}
	root, err := document.Read(data)
	if err != nil {
		loader.found.Addf(name, "%v", err)
		return Settings{}, loader.found.Err()
	}
	if root != nil {
		loader.readMapping("", root)
	}
	loader.override(overrides)
	loader.complete()
	if err := loader.found.Err(); err != nil {
		return Settings{}, err
	}
	return loader.settings, nil
}

// loader collects settings and findings while it reads a file and overrides.
type loader struct {
	file     string
	settings Settings
	places   map[string]string // location of each field that was given, also if its value is invalid
	found    findings.List
}

// place formats a line number of the file and the name of the entry there.
func (l *loader) place(line int, name string) string {
	return fmt.Sprintf("%s:%d %s", l.file, line, name)
}

// readMapping reads the mapping with a dotted name; "" is the whole file.
func (l *loader) readMapping(name string, node *yaml.Node) {
	if node.Kind != yaml.MappingNode {
		l.found.Addf(l.place(node.Line, name), "must be a mapping, without aliases")
		return
	}
	for index := 0; index+1 < len(node.Content); index += 2 {
		key, value := node.Content[index], node.Content[index+1]
		l.readEntry(strings.TrimPrefix(name+"."+key.Value, "."), key, value)
	}
}

// readEntry reads the field or group with a dotted name.
func (l *loader) readEntry(name string, key, value *yaml.Node) {
	place := l.place(key.Line, name)
	if _, duplicate := l.places[name]; duplicate {
		l.found.Addf(place, "stands twice")
		return
	}
	l.places[name] = place
	field, known := fieldsByName[name]
	if !known && !isGroup(name) {
		l.found.Addf(place, "unknown key")
		return
	}
	if !known {
		l.readMapping(name, value)
		return
	}
	text, err := textOf(value)
	if err == nil {
		err = field.parse(&l.settings, text)
	}
	if err != nil {
		l.found.Addf(place, "%v", err)
	}
}

// isGroup reports whether any field has the dotted name as a prefix.
func isGroup(name string) bool {
	for _, field := range Fields {
		if strings.HasPrefix(field.Name, name+".") {
			return true
		}
	}
	return false
}

// textOf returns the text of a scalar value, or of a list of scalars, separated by commas.
func textOf(node *yaml.Node) (string, error) {
	switch {
	case node.Kind == yaml.ScalarNode && node.Tag != "!!null":
		return node.Value, nil
	case node.Kind != yaml.SequenceNode:
		return "", errors.New("must be a single value or a list")
	}
	texts := make([]string, 0, len(node.Content))
	for _, item := range node.Content {
		if item.Kind != yaml.ScalarNode {
			return "", errors.New("must be a list of single values")
		}
		texts = append(texts, item.Value)
	}
	return strings.Join(texts, ","), nil
}

// override applies values from flags.
func (l *loader) override(overrides map[string]string) {
	names := make([]string, 0, len(overrides))
	for name := range overrides {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		field, known := fieldsByName[name]
		if !known {
			l.found.Addf("flag for "+name, "there is no such setting")
			continue
		}
		l.places[name] = "--" + field.Flag()
		if err := field.parse(&l.settings, overrides[name]); err != nil {
			l.found.Addf(l.places[name], "%v", err)
		}
	}
}

// complete checks required fields and rules that concern several fields, and reads the secrets.
func (l *loader) complete() {
	for _, field := range Fields {
		if _, given := l.places[field.Name]; field.Required && !given {
			l.found.Addf(l.missingPlace(field), "is required (flag --%s)", field.Flag())
		}
	}
	l.checkAdvertised()
	l.checkTLS()
	l.checkKeys()
	l.readSecret("platform.table.secret_key_file", l.settings.Platform.Table.SecretKeyFile, &l.settings.Platform.Table.SecretKey)
	l.readSecret("platform.objects.secret_key_file", l.settings.Platform.Objects.SecretKeyFile, &l.settings.Platform.Objects.SecretKey)
}

// missingPlace returns the location for a finding about a field that is not given.
func (l *loader) missingPlace(field Field) string {
	if l.file == "" {
		return field.Name
	}
	return l.file + " " + field.Name
}

// checkAdvertised defaults AdvertisePeers to Peers, and checks that other nodes can connect to it:
// 0.0.0.0 and :: are valid only for listening.
func (l *loader) checkAdvertised() {
	if l.settings.Listen.AdvertisePeers == "" {
		l.settings.Listen.AdvertisePeers = l.settings.Listen.Peers
	}
	address, err := netip.ParseAddrPort(l.settings.Listen.AdvertisePeers)
	if err != nil || !address.Addr().IsUnspecified() {
		return
	}
	place := l.places["listen.advertise_peers"]
	if place == "" {
		place = l.places["listen.peers"]
	}
	l.found.Addf(place, "other nodes can't call %s; set listen.advertise_peers to an address of this machine", address)
}

// checkTLS checks that either all or none of the TLS files are given, and that they can be loaded.
func (l *loader) checkTLS() {
	files := map[string]string{
		"tls.certificate_file": l.settings.TLS.CertificateFile,
		"tls.key_file":         l.settings.TLS.KeyFile,
		"tls.ca_file":          l.settings.TLS.CAFile,
	}
	missing, given := make([]string, 0), ""
	for _, name := range []string{"tls.certificate_file", "tls.key_file", "tls.ca_file"} {
		switch {
		case l.places[name] == "":
			missing = append(missing, name)
		case files[name] == "":
			return // the invalid file is already reported with its field
		default:
			given = name
		}
	}
	switch {
	case given == "":
	case len(missing) > 0:
		l.found.Addf(l.places[given], "needs also %s", strings.Join(missing, " and "))
	default:
		l.checkFile("tls.certificate_file", func() error {
			_, err := security.OpenCertificates(l.settings.TLS.Files(), time.Now)
			return err
		})
	}
}

// checkKeys checks that the files of API keys can be loaded.
func (l *loader) checkKeys() {
	files := map[string]string{
		"keys.callers_file":   l.settings.Keys.CallersFile,
		"keys.operators_file": l.settings.Keys.OperatorsFile,
	}
	for _, name := range []string{"keys.callers_file", "keys.operators_file"} {
		if files[name] == "" {
			continue
		}
		l.checkFile(name, func() error {
			_, err := security.OpenKeys(files[name])
			return err
		})
	}
}

// checkFile adds the findings of open, which loads the files of a field.
func (l *loader) checkFile(name string, open func() error) {
	err := open()
	var reported *findings.Error
	if !errors.As(err, &reported) {
		l.found.Merge(l.places[name], err)
		return
	}
	for _, finding := range reported.Findings {
		l.found.Addf(l.places[name], "%s", finding)
	}
}

// readSecret reads a secret from a file, without surrounding whitespace.
func (l *loader) readSecret(name, file string, secret *Secret) {
	if file == "" {
		return
	}
	data, err := readFile(file)
	if err != nil {
		l.found.Addf(l.places[name], "%v", err)
		return
	}
	*secret = Secret(strings.TrimSpace(string(data)))
	if *secret == "" {
		l.found.Addf(l.places[name], "%s is empty", file)
	}
}
