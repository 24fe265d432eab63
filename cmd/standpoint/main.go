// Command standpoint is the node: it takes requests from edge connections, lets the decision module choose
// among real servers, and passes their answers on. On the platform its variables configure it; elsewhere
// -config names an operator's file.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"standpoint/internal/config"
	"standpoint/internal/edge"
	"standpoint/internal/node"
)

const (
	lateClients  = 600 * time.Millisecond  // after SIGTERM clients still come for up to 0.4 s
	shutdownTime = time.Minute             // in which what was taken must be answered
	handBackTime = 2200 * time.Millisecond // after SIGTERM, where the platform kills what it has told to stop
	killMargin   = 400 * time.Millisecond  // before that, when nothing may be left
	logsFirst    = 20                      // lines of one message in a second, and every
	logsThen     = 200                     // so many further ones
)

func main() {
	operator := flag.String("config", "", "an operator's file; without it the platform's variables are read")
	flag.Parse()
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.Lock(os.Stderr), zap.InfoLevel)
	// A client may be wrong thousands of times a second, and must not fill the log or hold the node up with it.
	log := zap.New(zapcore.NewSamplerWithOptions(core, time.Second, logsFirst, logsThen))
	if err := run(*operator, log); err != nil {
		fmt.Fprintln(os.Stderr, "standpoint:", err)
		os.Exit(1)
	}
}

// program is what a way of configuring the node comes to.
type program struct {
	name, listen string
	limits       config.Limits
	core         *node.Core
	handler      func(*node.Life) http.Handler
	actors       []func(context.Context) // run until the program stops
	killed       time.Duration           // after SIGTERM, at the earliest; 0: never
	reread       func() (config.Limits, error)
	close        func() error
}

func run(operator string, log *zap.Logger) error {
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	hangup := make(chan os.Signal, 1) // holds one wish to read the configuration again
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	var p *program
	var err error
	if operator != "" {
		p, err = fromOperator(operator, log)
	} else {
		p, err = fromPlatform(log)
	}
	if err != nil {
		return err
	}
	defer func() {
		if err := p.close(); err != nil {
			log.Warn("closing", zap.Error(err))
		}
	}()
	log = log.With(zap.String("node", p.name))
	confine(p.limits)
	listener, err := net.Listen("tcp", p.listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	life := &node.Life{}
	actors, end := context.WithCancel(context.Background())
	defer end()
	for _, actor := range p.actors {
		go actor(actors)
	}
	room := edge.NewRoom(listener, p.limits.EdgeConnections(), log)
	server := edge.NewServer(p.handler(life), room, log)
	go reload(actors, hangup, p, room, log)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(room) }()
	if err := life.Move(node.Serving); err != nil {
		return err
	}
	log.Info("serving", zap.String("listen", p.listen), zap.Any("limits", p.limits))

	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-stop.Done():
	}
	return drain(life, server, p, log)
}

// confine keeps the process within its limits. The heap stays well under that of memory; stacks, buffers of the
// kernel and the binary take the rest.
func confine(l config.Limits) {
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 6 / 10)
	runtime.GOMAXPROCS(max(1, int(l.Cores+0.5)))
}

// drain goes on accepting while clients still come, then answers all that was taken. What cannot be whole before
// the program is killed is given back while the client can still ask elsewhere.
func drain(life *node.Life, server *http.Server, p *program, log *zap.Logger) error {
	if err := life.Move(node.Draining); err != nil {
		return err
	}
	log.Info("draining", zap.Int("open", p.core.Open()))
	if p.killed > 0 {
		defer time.AfterFunc(min(handBackTime, p.killed-killMargin), func() { p.core.HandBack(false) }).Stop()
		defer time.AfterFunc(p.killed-killMargin, func() { p.core.HandBack(true) }).Stop()
	}
	time.Sleep(lateClients)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = fmt.Errorf("draining: %d flows were left: %w", p.core.Open(), err)
	}
	if moved := life.Move(node.Stopped); moved != nil {
		return moved
	}
	log.Info("stopped")
	return err
}
