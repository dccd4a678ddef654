package security

import (
	"context"
	"os"
	"strconv"
	"strings"
	"time"
)

// Reloader is state that is read from files, such as *Keys and *Certificates.
type Reloader interface {
	// ReloadIfChanged reads the files again if they changed. After an error
	// the previous state stays in force.
	ReloadIfChanged() (changed bool, err error)
}

// Watch checks all reloaders for changes at the given interval until the context
// ends. It calls report after each change, with a nil error if the reload succeeded.
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

// fileStamp identifies the state of files by their sizes and modification times.
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
