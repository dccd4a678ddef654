package security

import (
	"context"
	"os"
	"strconv"
	"strings"
	"time"
)

// Reloader is something read from files, such as *Keys and *Certificates.
type Reloader interface {
	// ReloadIfChanged reads the files again if they changed. After an error
	// what was read before stays in force.
	ReloadIfChanged() (changed bool, err error)
}

// Watch looks for changes of all reloaders each interval until the context
// ends. It calls report after each change, with a nil error if it is in force.
func Watch(ctx context.Context, interval time.Duration, report func(error), reloaders ...Reloader) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, reloader := range reloaders {
			if changed, err := reloader.ReloadIfChanged(); changed {
				report(err)
			}
		}
	}
}

// fileStamp tells states of files apart by their sizes and change times.
type fileStamp string

func stampFiles(paths ...string) fileStamp {
	var stamp strings.Builder
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			stamp.WriteString("missing;")
			continue
		}
		stamp.WriteString(strconv.FormatInt(info.Size(), 10))
		stamp.WriteByte('@')
		stamp.WriteString(strconv.FormatInt(info.ModTime().UnixNano(), 10))
		stamp.WriteByte(';')
	}
	return fileStamp(stamp.String())
}
