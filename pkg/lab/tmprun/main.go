package main

import (
	"context"
	"flag"
	"os"
	"runtime/pprof"
	"strconv"
	"strings"

	"martenwheel.dev/pkg/lab/scale"
)

func main() {
	steps := flag.String("nodes", "7", "")
	js := flag.String("json", "", "")
	prof := flag.String("prof", "", "")
	wakes := flag.Int("wakes", 10, "")
	edits := flag.Int("edits", 5, "")
	flag.Parse()
	var o scale.Options
	for _, s := range strings.Split(*steps, ",") {
		n, _ := strconv.Atoi(s)
		o.Steps = append(o.Steps, n)
	}
	o.JSON, o.Wakes, o.Edits, o.Seed = *js, *wakes, *edits, 1
	if *prof != "" {
		f, _ := os.Create(*prof)
		pprof.StartCPUProfile(f)
		defer pprof.StopCPUProfile()
	}
	if err := scale.Command(context.Background(), o, os.Stdout, os.Stderr); err != nil {
		println(err.Error())
	}
}
