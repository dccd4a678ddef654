package settings

import (
	"cmp"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/settings/units"
)

// Field describes one setting of a process, with its text form in files and flags.
type Field struct {
	Name        string // dotted path in the settings file
	Unit        string
	Default     string
	Range       string // allowed values in words, bounds included
	Required    bool
	Description string

	parse  func(settings *Settings, text string) error
	format func(settings Settings) string
}

// Flag returns the name of the command-line flag that sets the field: --listen-callers sets
// "listen.callers".
func (f Field) Flag() string {
	return strings.NewReplacer(".", "-", "_", "-").Replace(f.Name)
}

// Limits of the settings.
const (
	kibibyte       = 1 << 10
	mebibyte       = 1 << 20
	maxConnections = 1_000_000
	maxSeeds       = 100
	maxNameBytes   = 64
	maxFileBytes   = 1 << 20
)

// Fields lists every setting of a process, in the order of the documentation.
var Fields = []Field{
	required(nameField("node.id", "name of the process, unique among all nodes",
		func(s *Settings) *string { return (*string)(&s.Node.ID) })),
	required(nameField("node.zone", "zone that the process runs in",
		func(s *Settings) *string { return &s.Node.Zone })),
	required(nameField("node.region", "region that the process runs in",
		func(s *Settings) *string { return &s.Node.Region })),
	addressField("listen.callers", "127.0.0.1:8080", "listener of the OpenAI-style API for callers",
		func(s *Settings) *string { return &s.Listen.Callers }),
	addressField("listen.operators", "127.0.0.1:8081", "listener for operators, health checks and metrics",
		func(s *Settings) *string { return &s.Listen.Operators }),
	required(addressField("listen.peers", "", "listener for other nodes",
		func(s *Settings) *string { return &s.Listen.Peers })),
	addressField("listen.advertise_peers", "", "where other nodes reach listen.peers; empty: the same",
		func(s *Settings) *string { return &s.Listen.AdvertisePeers }),
	addressesField("seeds", "listeners for peers of some other nodes; a process asks them for the rest",
		func(s *Settings) *[]string { return &s.Seeds }),
	required(urlField("platform.table.endpoint", "table service, which speaks the DynamoDB protocol",
		func(s *Settings) *string { return &s.Platform.Table.Endpoint })),
	withDefault("martenwheel", nameField("platform.table.name", "name of the table",
		func(s *Settings) *string { return &s.Platform.Table.Name })),
	withDefault("local", nameField("platform.table.region", "region that requests to the table service are signed for",
		func(s *Settings) *string { return &s.Platform.Table.Region })),
	withDefault("martenwheel", nameField("platform.table.access_key", "public part of the credentials for the table service",
		func(s *Settings) *string { return &s.Platform.Table.AccessKey })),
	fileField("platform.table.secret_key_file", "secret part of the credentials for the table service",
		func(s *Settings) *string { return &s.Platform.Table.SecretKeyFile }),
	required(urlField("platform.objects.endpoint", "object store, which speaks the S3 protocol",
		func(s *Settings) *string { return &s.Platform.Objects.Endpoint })),
	withDefault("martenwheel", nameField("platform.objects.bucket", "bucket of the object store",
		func(s *Settings) *string { return &s.Platform.Objects.Bucket })),
	withDefault("martenwheel", nameField("platform.objects.access_key", "public part of the credentials for the object store",
		func(s *Settings) *string { return &s.Platform.Objects.AccessKey })),
	fileField("platform.objects.secret_key_file", "secret part of the credentials for the object store",
		func(s *Settings) *string { return &s.Platform.Objects.SecretKeyFile }),
	required(urlField("platform.machines.endpoint", "list of live and leaving machines",
		func(s *Settings) *string { return &s.Platform.Machines.Endpoint })),
	fileField("tls.certificate_file", "certificate of the process, PEM; with it every listener speaks TLS",
		func(s *Settings) *string { return &s.TLS.CertificateFile }),
	fileField("tls.key_file", "private key of the certificate, PEM",
		func(s *Settings) *string { return &s.TLS.KeyFile }),
	fileField("tls.ca_file", "authorities that certificates of other nodes are checked against, PEM",
		func(s *Settings) *string { return &s.TLS.CAFile }),
	fileField("keys.callers_file", "API keys of callers; empty: every caller is let in",
		func(s *Settings) *string { return &s.Keys.CallersFile }),
	fileField("keys.operators_file", "API keys of operators; empty: every operator is let in",
		func(s *Settings) *string { return &s.Keys.OperatorsFile }),
	choiceField("log_level", "info", []string{"debug", "info", "warn", "error"}, "least level of log lines that are written",
		func(s *Settings) *string { return &s.LogLevel }),
	rangedField("drain_time", "duration", 30*time.Second, units.Durations(0, time.Hour),
		"bound of a planned stop: time for requests in flight and waiting",
		func(s *Settings) *time.Duration { return &s.DrainTime }),
	rangedField("limits.body", "bytes", 16*mebibyte, units.IntSizes(kibibyte, 1024*mebibyte),
		"largest body that the process reads; max_body of the tree may be less",
		func(s *Settings) *int { return &s.Limits.BodyBytes }),
	rangedField("limits.header", "bytes", 16*kibibyte, units.IntSizes(kibibyte, mebibyte),
		"largest header of a request",
		func(s *Settings) *int { return &s.Limits.HeaderBytes }),
	rangedField("limits.connections", "connections", 10_000, units.Counts(1, maxConnections),
		"most connections at once per listener",
		func(s *Settings) *int { return &s.Limits.Connections }),
	rangedField("limits.read_timeout", "duration", 30*time.Second, units.Durations(time.Millisecond, time.Hour),
		"time for a request to arrive whole",
		func(s *Settings) *time.Duration { return &s.Limits.ReadTimeout }),
	rangedField("limits.write_timeout", "duration", 30*time.Second, units.Durations(time.Millisecond, 24*time.Hour),
		"time that one write of an answer may take; a caller that takes no bytes for so long is cut off",
		func(s *Settings) *time.Duration { return &s.Limits.WriteTimeout }),
	rangedField("limits.idle_timeout", "duration", 2*time.Minute, units.Durations(time.Millisecond, 24*time.Hour),
		"time that a connection may be idle between requests",
		func(s *Settings) *time.Duration { return &s.Limits.IdleTimeout }),
}

// fieldsByName indexes Fields by name.
var fieldsByName = indexFields()

func indexFields() map[string]Field {
	index := make(map[string]Field, len(Fields))
	for _, field := range Fields {
		index[field.Name] = field
	}
	return index
}

// Default returns the default settings. Required settings are empty.
func Default() Settings {
	var settings Settings
	for _, field := range Fields {
		if field.Default == "" {
			continue
		}
		if err := field.parse(&settings, field.Default); err != nil {
			panic(errors.WithMessage(err, "default of "+field.Name))
		}
	}
	return settings
}

// required marks a field as required; it has no default.
func required(field Field) Field {
	field.Required = true
	return field
}

// withDefault sets the default of a field.
func withDefault(text string, field Field) Field {
	field.Default = text
	return field
}

// textField returns a field whose text is validated and stored unchanged.
func textField(name, unit, allowed, description string, check func(string) error, field func(*Settings) *string) Field {
	return Field{
		Name: name, Unit: unit, Range: allowed, Description: description,
		parse: func(settings *Settings, text string) error {
			if err := check(text); err != nil {
				return err
			}
			*field(settings) = text
			return nil
		},
		format: func(settings Settings) string { return *field(&settings) },
	}
}

// namePattern matches valid names of nodes, zones, regions, tables and buckets.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

func nameField(name, description string, field func(*Settings) *string) Field {
	check := func(text string) error {
		if len(text) > maxNameBytes || !namePattern.MatchString(text) {
			return errors.Errorf("%.80q must be 1 to %d letters, digits and ._- and begin with a letter or digit", text, maxNameBytes)
		}
		return nil
	}
	return textField(name, "text", "1 to 64 letters, digits and ._-", description, check, field)
}

func addressField(name, defaultValue, description string, field func(*Settings) *string) Field {
	return withDefault(defaultValue, textField(name, "IP:port", "an IP address, not a host name, and a port", description, checkAddress, field))
}

func addressesField(name, description string, field func(*Settings) *[]string) Field {
	return Field{
		Name: name, Unit: "list of IP:port", Range: "at most " + strconv.Itoa(maxSeeds) + " IP addresses with port", Description: description,
		parse: func(settings *Settings, text string) error {
			addresses := strings.Split(text, ",")
			if len(addresses) > maxSeeds {
				return errors.Errorf("has %d addresses, more than %d", len(addresses), maxSeeds)
			}
			for index, address := range addresses {
				addresses[index] = strings.TrimSpace(address)
				if err := checkAddress(addresses[index]); err != nil {
					return err
				}
			}
			*field(settings) = addresses
			return nil
		},
		format: func(settings Settings) string { return strings.Join(*field(&settings), ",") },
	}
}

// checkAddress checks that text is an IP address with a port.
func checkAddress(text string) error {
	_, err := netip.ParseAddrPort(text)
	if err == nil {
		return nil
	}
	host, _, hasPort := strings.Cut(text, ":")
	if _, addressErr := netip.ParseAddr(text); addressErr == nil {
		return errors.Errorf("%q has no port, write for example 10.0.0.5:8080 or [fd00::5]:8080", text)
	}
	if hasPort && strings.ContainsAny(host, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") && !strings.HasPrefix(text, "[") {
		return errors.Errorf("%q is a host name, an IP address is needed", text)
	}
	return errors.Errorf("%q is no IP:port, write for example 10.0.0.5:8080", text)
}

func urlField(name, description string, field func(*Settings) *string) Field {
	check := func(text string) error {
		parsed, err := url.Parse(text)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return errors.Errorf("%q is no URL, write for example http://10.0.0.9:8000", text)
		}
		if parsed.User != nil {
			return errors.New("must not hold credentials")
		}
		return nil
	}
	return textField(name, "URL", "http or https, without credentials", description, check, field)
}

func fileField(name, description string, field func(*Settings) *string) Field {
	check := func(text string) error {
		info, err := os.Stat(text)
		if err != nil {
			return errors.WithMessage(errors.Cause(err), "can't be read")
		}
		if !info.Mode().IsRegular() {
			return errors.Errorf("%q is no file", text)
		}
		return nil
	}
	return textField(name, "file name", "a readable file", description, check, field)
}

func choiceField(name, defaultValue string, choices []string, description string, field func(*Settings) *string) Field {
	allowed := strings.Join(choices, ", ")
	check := func(text string) error {
		for _, choice := range choices {
			if text == choice {
				return nil
			}
		}
		return errors.Errorf("%q is not one of %s", text, allowed)
	}
	return withDefault(defaultValue, textField(name, "text", allowed, description, check, field))
}

// rangedField returns a field whose values must lie in a range.
func rangedField[T cmp.Ordered](name, unit string, defaultValue T, allowed units.Range[T], description string, field func(*Settings) *T) Field {
	return Field{
		Name: name, Unit: unit, Default: allowed.Format(defaultValue), Range: allowed.String(), Description: description,
		parse: func(settings *Settings, text string) error {
			value, err := allowed.Parse(text)
			if err != nil {
				return err
			}
			*field(settings) = value
			return nil
		},
		format: func(settings Settings) string { return allowed.Format(*field(&settings)) },
	}
}

// Reference returns the NodeRef of a process with these settings.
func (s Settings) Reference(incarnation uint64) api.NodeRef {
	return api.NodeRef{
		ID:          s.Node.ID,
		Incarnation: incarnation,
		PeerAddress: s.Listen.AdvertisePeers,
		Zone:        s.Node.Zone,
		Region:      s.Node.Region,
	}
}
