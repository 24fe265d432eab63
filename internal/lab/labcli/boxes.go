package labcli

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"standpoint/internal/lab/emulator/server"
	"standpoint/internal/lab/responder"
	"standpoint/internal/lab/stage"
)

// boxesCommand runs emulated backends.
func boxesCommand(errs io.Writer) *cobra.Command {
	var commandAddress string
	var duration time.Duration
	c := &cobra.Command{Use: "boxes FILE", Short: "Run a fleet of emulated backends on loopback sockets",
		Args: cobra.ExactArgs(1),
		Example: "  lab boxes deploy/lab/two-pools.toml --hand 127.0.0.1:9900\n" +
			"  lab poke --hand 127.0.0.1:9900 slow 2 new-1 new-2",
		RunE: func(c *cobra.Command, args []string) error {
			f, err := server.ReadFleet(args[0])
			if err != nil {
				return err
			}
			r, err := f.Start()
			if err != nil {
				return err
			}
			defer func() { _ = r.Close() }()
			closeCommands, err := serveCommands(commandAddress, r)
			if err != nil {
				return err
			}
			defer closeCommands()
			for _, s := range r.Servers {
				fmt.Fprintf(errs, "%s at %s\n", s.Name, s.Address)
			}
			select {
			case <-c.Context().Done():
			case <-time.After(duration):
			}
			return nil
		}}
	c.Flags().StringVar(&commandAddress, "hand", "",
		"loopback address (host:port) at which lab poke reaches the backends; empty: none")
	c.Flags().DurationVar(&duration, "for", time.Hour, "time after which the backends stop")
	return c
}

// commandTarget executes the fault commands of lab poke: emulated backends, or a responder.
type commandTarget interface {
	Apply(command, value string, names ...string) error
}

// serveCommands serves lab poke at the address, if there is one.
func serveCommands(address string, target commandTarget) (closeServer func(), err error) {
	if address == "" {
		return func() {}, nil
	}
	l, err := listenLoopback(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: commandHandler(target), ReadTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	return func() { server.Close() }, nil
}

// listenLoopback listens at a loopback address.
func listenLoopback(address string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("--hand: %q is not a loopback address", address)
	}
	return net.Listen("tcp", address)
}

// commandHandler handles POST /DEED?value=V&box=NAME. The parameter box may occur several times.
func commandHandler(target commandTarget) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{deed}", func(w http.ResponseWriter, req *http.Request) {
		_ = req.ParseForm()
		if err := target.Apply(req.PathValue("deed"), req.Form.Get("value"), req.Form["box"]...); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	return mux
}

// pokeCommand sends a fault command.
func pokeCommand() *cobra.Command {
	var commandAddress string
	c := &cobra.Command{Use: "poke DEED [VALUE] [BOX ...]",
		Short: "Send a fault command to running emulated backends, or to a running responder",
		Args:  cobra.MinimumNArgs(1),
		Long: `Commands (DEED) for backends: slow FACTOR, errors SHARE, pause SECONDS, kill, restart, drain, and
reset, silence, garbage and half with a SHARE of the requests. Without names (BOX) a command applies
to all backends.
Commands (DEED) for a responder: withdraw, publish, lose, restore, silent, speak, drop, and loss,
delay, jitter, garbage, wrong-id, poison, truncate, zero-ttl, broken, no-push, mute and split with a
value.`,
		Example: "  lab poke --hand 127.0.0.1:9900 slow 2 new-1 new-2\n  lab poke --hand 127.0.0.1:9900 kill old-3",
		RunE: func(_ *cobra.Command, args []string) error {
			form := map[string][]string{}
			names := args[1:]
			if value := server.FaultCommands[args[0]] + responder.FaultCommands[args[0]]; value != "" {
				if len(names) == 0 {
					return fmt.Errorf("%s: value missing: %s", args[0], value)
				}
				form["value"], names = names[:1], names[1:]
			}
			form["box"] = names
			response, err := http.PostForm("http://"+commandAddress+"/"+args[0], form)
			if err != nil {
				return err
			}
			defer response.Body.Close()
			if response.StatusCode != http.StatusOK {
				text, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
				return fmt.Errorf("%s", strings.TrimSpace(string(text)))
			}
			return nil
		}}
	c.Flags().StringVar(&commandAddress, "hand", "127.0.0.1:9900",
		"address (host:port) that lab boxes or lab dns was given with --hand")
	return c
}

// siblingProgram returns the path of a program in the directory of this one.
func siblingProgram(name string) string {
	own, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(own), name)
}

// stageCommand runs a demo environment.
func stageCommand(out, errs io.Writer) *cobra.Command {
	o := stage.Options{Out: errs}
	c := &cobra.Command{Use: "stage",
		Short: "Run a demo environment: two pools of emulated backends, the daemon and clients",
		Long: `Starts emulated backends in two pools, the daemon as a process, and clients, all on this machine;
then prints the command that starts a migration. At the end (Ctrl-C, or --for) it writes report.json
and report.png into --dir.`,
		Example: "  lab stage --dir /tmp/stage\n  lab stage --dir /tmp/stage --start --slow 2",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.Program == "" {
				o.Program = siblingProgram("standpoint")
			}
			r, err := stage.Run(c.Context(), o)
			if err != nil {
				return err
			}
			lowest, mean := r.Service()
			fmt.Fprintf(out, "%d requests, %d attempts, two at once %d; service %.3f, least of any 10 s %.3f\n",
				r.Requests, r.Attempts, r.ConcurrentAttempts, mean, lowest)
			if r.SlowAt > 0 && r.ReturnedAt > 0 {
				fmt.Fprintf(out, "all traffic was back %.0f s after the new boxes became slow\n", r.ReturnedAt-r.SlowAt)
			}
			fmt.Fprintf(out, "%s and report.json are in %s\n", "report.png", o.Dir)
			return nil
		}}
	f := c.Flags()
	f.StringVar(&o.Dir, "dir", "stage", "directory for the operator file, the control socket, the log and the report")
	f.StringVar(&o.Program, "program", "",
		"path of the daemon's program; empty: standpoint in the directory of this program")
	f.Float64Var(&o.Rate, "rate", 18, "requests per second")
	f.IntVar(&o.OldBackends, "old", 6, "number of backends in the old pool")
	f.IntVar(&o.NewBackends, "new", 6, "number of backends in the new pool")
	f.BoolVar(&o.NewBackendsCold, "cold", false, "start the backends of the new pool cold")
	f.DurationVar(&o.Duration, "for", 0, "duration; 0: until Ctrl-C, at most 30m")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the backends and clients")
	f.StringVar(&o.Hold, "hold", "", "time for which each step is observed, such as 10s; empty: the daemon's default")
	f.BoolVar(&o.StartMove, "start", false, "start the migration too, and end after it")
	f.DurationVar(&o.Settle, "settle", 15*time.Second,
		"with --start: time for which the old pool serves alone before the migration")
	f.Float64Var(&o.SlowFactor, "slow", 0, "with --start: factor by which the new backends become slower; 0: none")
	f.IntVar(&o.SlowStep, "slow-step", 2, "step of the migration, from 0, in which they become slower")
	f.DurationVar(&o.SlowAfter, "slow-after", 5*time.Second,
		"time after the start of this step's hold at which they become slower")
	return c
}
