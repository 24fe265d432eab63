package daemon

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"standpoint/internal/config"
)

// Of the lines with the same message and level in one second, the first are written, and then every so many-th.
const (
	sampledFirst      = 20
	sampledThereafter = 200
)

// logging is the level and the format of the log.
type logging struct {
	level   zapcore.Level
	console bool
}

func (d deployment) logging() logging {
	if d.operator == nil {
		return logging{level: zap.InfoLevel}
	}
	level, _ := zapcore.ParseLevel(d.operator.Log.Level) // checked by config
	return logging{level, d.operator.Log.Format == config.LogConsole}
}

// newLog returns a log that writes to standard error. Its level can be changed through level. Repeated lines are
// sampled, since a faulty client may cause thousands a second, which would fill the log and slow the node down.
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
