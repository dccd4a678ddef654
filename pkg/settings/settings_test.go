package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/findings/findingstest"
)

const sampleFile = `node: {id: node-a, zone: hall-1, region: gulf-south}
listen:
  peers: 10.0.0.5:8082
seeds: [10.0.0.6:8082, "[fd00::7]:8082"]
platform:
  table: {endpoint: "http://10.0.9.1:8000"}
  objects: {endpoint: "http://store.example:9000", bucket: settings}
  machines: {endpoint: "http://10.0.9.1:7000"}
drain_time: 45s
limits:
  body: 8MiB
`

func TestFileDefaultsAndFlags(t *testing.T) {
	settings, err := Parse("node.yaml", []byte(sampleFile), map[string]string{"log_level": "debug", "drain_time": "1m"})
	if err != nil {
		t.Fatal(err)
	}
	if settings.Node.ID != "node-a" || len(settings.Seeds) != 2 || settings.Limits.BodyBytes != 8<<20 {
		t.Errorf("from the file: %+v", settings)
	}
	if settings.LogLevel != "debug" || settings.DrainTime != time.Minute {
		t.Errorf("from flags: %+v", settings)
	}
	if settings.Listen.Callers != "127.0.0.1:8080" || settings.Platform.Objects.Bucket != "settings" || settings.Platform.Table.Name != "martenwheel" {
		t.Errorf("defaults: %+v", settings)
	}
	if reference := settings.Reference(7); reference.PeerAddress != "10.0.0.5:8082" || reference.Incarnation != 7 {
		t.Errorf("reference: %+v", reference)
	}
}

func TestFileWithManyFaultsReportsAllOfThem(t *testing.T) {
	file := `node: {id: node-a, zone: hall 1, region: gulf-south}
listen:
  callers: localhost:8080
  operators: 10.0.0.5
  peers: 0.0.0.0:8082
  peer: 10.0.0.5:8082
seeds: [10.0.0.6:8082, node-b:8082]
platform:
  table: {endpoint: "10.0.9.1:8000"}
  machines: {endpoint: "http://u:p@10.0.9.1:7000"}
drain_time: 45
limits:
  body: 8
  connections: 0
  connections: 5
`
	settings, err := Parse("node.yaml", []byte(file), map[string]string{"limits.idle_timeout": "5"})
	findingstest.Want(t, err,
		`node.yaml:1 node.zone: "hall 1" must be`,
		`node.yaml:3 listen.callers: "localhost:8080" is a host name, an IP address is needed`,
		`node.yaml:4 listen.operators: "10.0.0.5" has no port`,
		`node.yaml:6 listen.peer: unknown key`,
		`node.yaml:7 seeds: "node-b:8082" is a host name`,
		`node.yaml:9 platform.table.endpoint: "10.0.9.1:8000" is no URL`,
		`node.yaml:10 platform.machines.endpoint: must not hold credentials`,
		`node.yaml:11 drain_time: "45" has no unit`,
		`node.yaml:13 limits.body: "8" has no unit`,
		`node.yaml:14 limits.connections: 0 is out of range`,
		`node.yaml:15 limits.connections: stands twice`,
		`--limits-idle-timeout: "5" has no unit`,
		`node.yaml platform.objects.endpoint: is required`,
		`node.yaml:5 listen.peers: other nodes can't call 0.0.0.0:8082`,
	)
	if settings.Node.ID != "" {
		t.Error("an invalid file was applied in part")
	}
}

func TestFilesThatAreNoSettings(t *testing.T) {
	cases := map[string]string{
		"node.yaml: yaml: ":                   "node: [",
		"node.yaml: a second document":        sampleFile + "---\nlog_level: debug\n",
		"node.yaml:1 : must be a mapping":     "just text",
		"node.yaml:1 node: must be a mapping": "node:\n" + strings.SplitN(sampleFile, "\n", 2)[1],
	}
	for want, file := range cases {
		_, err := Parse("node.yaml", []byte(file), nil)
		if err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
	_, err := Load(filepath.Join(t.TempDir(), "missing.yaml"), nil)
	if err == nil || !strings.Contains(err.Error(), "missing.yaml: open settings") {
		t.Errorf("missing file: %v", err)
	}
}

func TestSecretsAndTLSFiles(t *testing.T) {
	directory := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	secret, empty, broken := write("secret", "s3cret\n"), write("empty", "\n"), write("broken.pem", "no PEM")

	settings, err := Parse("node.yaml", []byte(sampleFile), map[string]string{"platform.table.secret_key_file": secret})
	if err != nil || settings.Platform.Table.SecretKey != "s3cret" {
		t.Fatalf("got %v", err)
	}
	encoded, err := json.Marshal(settings)
	if printed := fmt.Sprintf("%v %+v %#v %s", settings, settings, settings, encoded); err != nil || strings.Contains(printed, "s3cret") {
		t.Error("the secret is printed")
	}
	_, err = Parse("node.yaml", []byte(sampleFile), map[string]string{
		"platform.objects.secret_key_file": empty,
		"keys.callers_file":                filepath.Join(directory, "missing"),
		"tls.certificate_file":             broken,
	})
	findingstest.Want(t, err,
		"--keys-callers-file: can't be read: ",
		"--tls-certificate-file: needs also tls.key_file and tls.ca_file",
		"--platform-objects-secret-key-file: "+empty+" is empty")
	_, err = Parse("node.yaml", []byte(sampleFile), map[string]string{
		"tls.certificate_file": broken, "tls.key_file": broken, "tls.ca_file": broken,
	})
	if err == nil || !strings.HasPrefix(err.Error(), "--tls-certificate-file: ") {
		t.Errorf("files without PEM: %v", err)
	}
	_, err = Parse("node.yaml", []byte(sampleFile), map[string]string{"keys.operators_file": broken})
	if err == nil || !strings.HasPrefix(err.Error(), "--keys-operators-file: "+broken) {
		t.Errorf("file without keys: %v", err)
	}
}

func TestEveryFieldIsReadBackAndHasItsOwnFlag(t *testing.T) {
	flags := make(map[string]bool)
	settings := Default()
	for _, field := range Fields {
		if flags[field.Flag()] {
			t.Errorf("flag --%s is defined twice", field.Flag())
		}
		flags[field.Flag()] = true
		if got := field.format(settings); got != field.Default {
			t.Errorf("%s: default %q is stored as %q; do two fields use the same variable?", field.Name, field.Default, got)
		}
	}
}

// flagSet records the flags that Bind adds.
type flagSet map[string]*string

func (s flagSet) String(variable *string, _, longName, _ string) { s[longName] = variable }

func TestFlagsOverride(t *testing.T) {
	set := make(flagSet)
	flags := Bind(set)
	if len(set) != len(Fields) || len(flags.Overrides()) != 0 {
		t.Fatalf("%d flags for %d fields", len(set), len(Fields))
	}
	*set["listen-advertise-peers"] = "10.0.0.9:1"
	settings, err := Parse("node.yaml", []byte(sampleFile), flags.Overrides())
	if err != nil || settings.Listen.AdvertisePeers != "10.0.0.9:1" {
		t.Fatalf("got %+v, %v", settings.Listen, err)
	}
}

// FuzzParse passes arbitrary files to the parser: it must not panic, and every error must have
// findings.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleFile))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("node.yaml", data, nil)
		var reported *findings.Error
		if err != nil && (!errors.As(err, &reported) || len(reported.Findings) == 0) {
			t.Fatalf("error without findings: %v", err)
		}
	})
}
