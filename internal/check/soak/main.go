// Command soak runs the real daemons as separate processes on loopback addresses, disturbs
// them from outside, and checks what callers and back ends see.
//
// A seed decides which faults come when. Promises that are checked: an answer is the whole
// answer of a back end that ran the request, or does not look whole; a request that may not
// repeat runs once at most, and not at all if its refusal says so; a proper request is
// answered by a process that nothing was done to; an acknowledged configuration is read
// back; a planned stop cuts nothing off; no process ends by itself; and soon after the last
// fault everything serves.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

type options struct {
	Binary string        `help:"The egretreach binary." default:"bin/egretreach" type:"existingfile"`
	From   uint64        `help:"The first seed." default:"1"`
	Seeds  int           `help:"How many seeds to run." default:"1"`
	AtOnce int           `help:"How many runs at the same time." default:"1"`
	Faults time.Duration `help:"How long faults come in one run." default:"12s"`
	Kept   string        `help:"A file of seeds that ever failed, to run too." type:"existingfile" optional:""`
	Folder string        `help:"Where the logs of failed runs stay." default:"local/soak" type:"path"`
}

func main() {
	var opts options
	k := kong.Parse(&opts, kong.Name("soak"), kong.Description("Disturb the real daemons and check their promises."))
	k.FatalIfErrorf(opts.run())
}

func (o options) run() error {
	seeds, err := keptSeeds(o.Kept)
	if err != nil {
		return err
	}
	for i := range o.Seeds {
		seeds = append(seeds, o.From+uint64(i))
	}
	var mu sync.Mutex
	var failed []uint64
	group := errgroup.Group{}
	group.SetLimit(o.AtOnce)
	for _, seed := range seeds {
		group.Go(func() error {
			report, ok, err := o.one(seed)
			if err != nil {
				return errors.Wrapf(err, "seed %d", seed)
			}
			mu.Lock()
			defer mu.Unlock()
			fmt.Print(report)
			if !ok {
				failed = append(failed, seed)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if len(failed) > 0 {
		return errors.Errorf("%d of %d seeds broke a promise: %v", len(failed), len(seeds), failed)
	}
	fmt.Printf("%d seeds: no promise broken\n", len(seeds))
	return nil
}

// keptSeeds reads the first number of each line; what follows tells its story.
func keptSeeds(file string) ([]uint64, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "kept seeds")
	}
	var seeds []uint64
	for line := range strings.Lines(string(text)) {
		var seed uint64
		if _, err := fmt.Sscan(line, &seed); err == nil {
			seeds = append(seeds, seed)
		}
	}
	return seeds, nil
}

// one runs one seed, and returns its report and whether all promises held.
func (o options) one(seed uint64) (string, bool, error) {
	folder := filepath.Join(o.Folder, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(folder); err != nil {
		return "", false, errors.Wrap(err, "folder")
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return "", false, errors.Wrap(err, "folder")
	}
	story, err := os.Create(filepath.Join(folder, "faults.log"))
	if err != nil {
		return "", false, errors.Wrap(err, "story")
	}
	defer func() { _ = story.Close() }()
	log := func(format string, parts ...any) {
		fmt.Fprintln(story, time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, parts...))
	}
	ledger, err := o.play(folder, seed, log)
	if err != nil {
		return "", false, err
	}
	var report strings.Builder
	fmt.Fprintf(&report, "seed %d: %v\n", seed, ledger.counts)
	for _, broken := range ledger.broken {
		log("BROKEN %s", broken)
		fmt.Fprintf(&report, "  BROKEN %s\n", broken)
	}
	if len(ledger.broken) > 0 {
		fmt.Fprintf(&report, "  logs: %s\n", folder)
		return report.String(), false, nil
	}
	return report.String(), true, os.RemoveAll(folder)
}

// newRand returns the numbers of one part of a run.
func newRand(seed, part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, part)) //nolint:gosec // A run is to be repeated by its seed.
}

// play boots a world, disturbs it, lets it recover and stops it.
func (o options) play(folder string, seed uint64, log func(string, ...any)) (*ledger, error) {
	const streams = 4 // One stream of the seed's numbers for each part of the run.
	rngs := make([]*rand.Rand, streams+callerCount)
	for i := range rngs {
		rngs[i] = newRand(seed, uint64(i))
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	absolute, err := filepath.Abs(folder)
	if err != nil {
		return nil, errors.Wrap(err, "folder")
	}
	w, err := newWorld(ctx, o.Binary, absolute, newRand(uint64(time.Now().UnixNano()), seed), log)
	if err != nil {
		return nil, err
	}
	defer w.stop()
	if err := w.boot(ctx); err != nil {
		w.ledger.breaks("%v", err)
		return w.ledger, nil
	}
	log("the faults begin")
	disturbing, calm := context.WithTimeout(ctx, o.Faults)
	defer calm()
	var under sync.WaitGroup
	under.Go(func() { w.operate(disturbing, rngs[0]) })
	under.Go(func() { (&faults{world: w, rng: rngs[1]}).run(disturbing) })
	for i := range callerCount {
		c := newCaller(fmt.Sprintf("caller%d", i+1), w.gateways[i%gatewayCount], w, rngs[streams+i])
		under.Go(func() { c.run(disturbing) })
	}
	under.Wait()
	log("the faults are over")
	w.recover(ctx, rngs[2])
	return w.ledger, nil
}
