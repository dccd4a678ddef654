// Command credit breaks down by cause the score that days of the users' bench lost. It runs the
// days with the logs of all nodes, and classifies each request that was late, refused or failed by
// what it waited for and how its attempts ended.
//
//	go run ./credit [-seeds N] [-jobs N] [-days A,B] BENCH SITE CHECKOUT
//
// Requests whose node was killed leave no log line. Their loss is shown as "without a line": the
// difference to the bench's own count for each class of requests.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
)

func main() {
	seeds := flag.Int("seeds", 3, "seeds of each day")
	jobs := flag.Int("jobs", 4, "days run concurrently")
	days := flag.String("days", "quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3", "names of days")
	flag.Parse()
	if flag.NArg() != 3 {
		flag.Usage()
		os.Exit(2)
	}
	s, err := readSite(flag.Arg(1))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	total := newSplit()
	var mu sync.Mutex
	var wait sync.WaitGroup
	slots := make(chan struct{}, max(*jobs, 1))
	for _, day := range strings.Split(*days, ",") {
		for seed := 1; seed <= *seeds; seed++ {
			slots <- struct{}{}
			wait.Go(func() {
				defer func() { <-slots }()
				result, err := s.play(flag.Arg(0), flag.Arg(2), day, seed)
				if err != nil {
					fmt.Fprintf(os.Stderr, "%s seed %d: %v\n", day, seed, err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				total.add(result)
			})
		}
	}
	wait.Wait()
	total.print(os.Stdout)
}
