// Command compare runs the same benchmark days with the same seeds on several checkouts and prints
// the score of each day, broken down by part. Many seeds are needed to tell a change from noise: a
// single score of the users' bench varies by 0.03 on the same code.
//
//	go run ./compare [-seeds N] [-jobs N] [-days A,B] [-small] BENCH SITE[,SITE...] CHECKOUT...
//
// BENCH is the bench's executable and SITE a site file. Several sites are run side by side and get
// a column each in the last table, for example a site and its stricter variant (tools/variants).
// Processor time is not charged, so that runs are reproducible.
package main

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// report is the part of the bench's report on a day that is used here.
type report struct {
	Worth  float64                    `json:"G"`
	Parts  [][3]any                   `json:"parts"`  // name, weight and value of each
	Prices [][3]any                   `json:"prices"` // name, amount and price of each
	Breaks map[string]json.RawMessage `json:"breaks"`
	Fault  any                        `json:"fault"`
	Short  []string                   `json:"short"`
}

// play is one run: a day on a site, with one seed and one checkout.
type play struct {
	site, checkout, day string
	seed                int
}

// options holds the command-line flags.
type options struct {
	seeds, jobs int
	days        []string
	small       bool
}

func main() {
	var o options
	flag.IntVar(&o.seeds, "seeds", 4, "seeds of each day")
	flag.IntVar(&o.jobs, "jobs", 4, "days run concurrently")
	flag.BoolVar(&o.small, "small", false, "run the small variants of large days")
	days := flag.String("days", "quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3", "names of days")
	flag.Parse()
	if flag.NArg() < 3 {
		flag.Usage()
		os.Exit(2)
	}
	o.days = strings.Split(*days, ",")
	bench, checkouts := absolute(flag.Arg(0)), flag.Args()[2:]
	var sites []string
	for site := range strings.SplitSeq(flag.Arg(1), ",") {
		sites = append(sites, absolute(site))
	}
	results := playAll(bench, sites, checkouts, o)
	table := make(map[string][]float64) // mean scores by checkout, one per site
	for _, site := range sites {
		for _, checkout := range checkouts {
			total := 0.0
			for _, day := range o.days {
				total += show(site, checkout, day, results, o.seeds)
			}
			table[checkout] = append(table[checkout], total/float64(len(o.days)))
			fmt.Printf("%s %s: mean worth %.4f\n\n", filepath.Base(site), checkout, total/float64(len(o.days)))
		}
	}
	for _, checkout := range checkouts {
		fmt.Printf("%-24s", checkout)
		for i, site := range sites {
			fmt.Printf("  %s %.4f", filepath.Base(site), table[checkout][i])
		}
		fmt.Println()
	}
}

func absolute(path string) string {
	absolutePath, err := filepath.Abs(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	return absolutePath
}

// playAll runs all plays and returns the reports of those that succeeded.
func playAll(bench string, sites, checkouts []string, o options) map[play]report {
	results := make(map[play]report)
	var mu sync.Mutex
	var wait sync.WaitGroup
	slots := make(chan struct{}, max(o.jobs, 1))
	for _, p := range plays(sites, checkouts, o) {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			r, err := p.run(bench, o.small)
			if err != nil {
				fmt.Fprintf(os.Stderr, "%s %s %s seed %d: %v\n", p.site, p.checkout, p.day, p.seed, err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			results[p] = r
		})
	}
	wait.Wait()
	return results
}

// plays lists the runs, those of the same day, seed and site on all checkouts in a row.
func plays(sites, checkouts []string, o options) []play {
	var list []play
	for _, day := range o.days {
		for seed := 1; seed <= o.seeds; seed++ {
			for _, site := range sites {
				for _, checkout := range checkouts {
					list = append(list, play{site, checkout, day, seed})
				}
			}
		}
	}
	return list
}

// run runs the bench and returns its report.
func (p play) run(bench string, small bool) (report, error) {
	file, err := os.CreateTemp("", "report")
	if err != nil {
		return report{}, err
	}
	_ = file.Close()
	defer os.Remove(file.Name())
	args := []string{"run", p.site, p.day, "--seed", strconv.Itoa(p.seed), "--no-cpu",
		"--report", file.Name(), "--why", "comparison over seeds"}
	if small {
		args = append(args, "--small")
	}
	command := exec.Command(bench, args...)
	command.Dir = p.checkout
	if out, err := command.CombinedOutput(); err != nil {
		return report{}, fmt.Errorf("%w: %s", err, out[max(len(out)-300, 0):])
	}
	text, err := os.ReadFile(file.Name())
	if err != nil {
		return report{}, err
	}
	var r report
	return r, json.Unmarshal(text, &r)
}

// show prints the means of a day over its seeds and returns the mean score.
func show(site, checkout, day string, results map[play]report, seeds int) float64 {
	var worth, prices []float64
	parts := make(map[string][]float64)
	each := make(map[string]float64)
	var names, wrong []string
	for seed := 1; seed <= seeds; seed++ {
		r, played := results[play{site, checkout, day, seed}]
		if !played {
			continue
		}
		worth = append(worth, r.Worth)
		price := 0.0
		for _, p := range r.Prices {
			price += number(p[2])
			each[fmt.Sprint(p[0])] += number(p[2])
		}
		prices = append(prices, price)
		for _, part := range r.Parts {
			name := fmt.Sprint(part[0])
			if len(parts[name]) == 0 {
				names = append(names, name)
			}
			parts[name] = append(parts[name], number(part[2]))
		}
		for rule := range r.Breaks {
			wrong = append(wrong, fmt.Sprintf("%s with seed %d", rule, seed))
		}
		if r.Fault != nil || len(r.Short) > 0 {
			wrong = append(wrong, fmt.Sprintf("%v %v with seed %d", r.Fault, r.Short, seed))
		}
	}
	fmt.Printf("%-10s %d played, worth %.4f (spread %.3f)", day, len(worth), mean(worth), spread(worth))
	for _, name := range names {
		fmt.Printf(", %s %.3f", name, mean(parts[name]))
	}
	fmt.Printf(", prices %.3f%s", mean(prices), largest(each, len(prices)))
	if len(wrong) > 0 {
		fmt.Printf(", WRONG: %s", strings.Join(wrong, "; "))
	}
	fmt.Println()
	return mean(worth)
}

// shownPrices is the number of prices shown for each day.
const shownPrices = 4

// largest formats the largest prices, as means over a number of plays.
func largest(each map[string]float64, plays int) string {
	names := slices.SortedFunc(maps.Keys(each), func(a, b string) int { return cmp.Compare(each[b], each[a]) })
	text := ""
	for _, name := range names[:min(len(names), shownPrices)] {
		text += fmt.Sprintf("; %.3f %s", each[name]/float64(plays), name)
	}
	return text
}

// number returns a JSON number, zero for anything else.
func number(v any) float64 {
	f, _ := v.(float64)
	return f
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// spread returns the standard deviation.
func spread(values []float64) float64 {
	center, sum := mean(values), 0.0
	for _, v := range values {
		sum += (v - center) * (v - center)
	}
	return math.Sqrt(sum / float64(max(len(values), 1)))
}
