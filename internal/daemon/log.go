package daemon

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"standpoint/internal/config"
)

const (
	sampledFirst      = 20  // lines of one message in a second, and every
	sampledThereafter = 200 // so many further ones
)

// logging is the level and the form of the log.
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

// newLog writes to standard error. A client may be wrong thousands of times a second, and must not fill the log or
// hold the node up with it: repeated lines are sampled.
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
