package daemon

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"standpoint/internal/config"
)

// Sampling of log lines that have the same message and level, in each second.
const (
	sampledFirst      = 20  // number of first lines that are all written
	sampledThereafter = 200 // of the further lines, one in this many is written
)

// logging holds the level and the format of the log.
type logging struct {
	level   zapcore.Level
	console bool // human-readable lines instead of JSON
}

func (d deployment) logging() logging {
	if d.operator == nil {
		return logging{level: zap.InfoLevel}
	}
	level, _ := zapcore.ParseLevel(d.operator.Log.Level) // validated by package config
	return logging{level, d.operator.Log.Format == config.LogConsole}
}

// newLog returns a logger that writes to standard error. Its level can be changed through level. Repeated lines are
// sampled, since a faulty client may cause thousands per second, which would fill the log and slow the node down.
func newLog(l logging, level zap.AtomicLevel) *zap.Logger {
	level.SetLevel(l.level)
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(encoding)
	if l.console {
		encoding.EncodeLevel = zapcore.CapitalLevelEncoder
		encoder = zapcore.NewConsoleEncoder(encoding)
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(os.Stderr), level)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, sampledFirst, sampledThereafter))
}
