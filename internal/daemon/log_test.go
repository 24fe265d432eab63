package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/config"
)

// TestLogLevel checks that the log level can change while the process runs. The format is fixed at the start.
func TestLogLevel(t *testing.T) {
	level := zap.NewAtomicLevel()
	log := newLog(deployment{operator: &config.OperatorFile{}}.logging(), level)
	require.False(t, log.Core().Enabled(zap.DebugLevel))
	cfg, err := config.ReadOperatorFile(operatorFile(t, "127.0.0.1:1", "127.0.0.1:2"))
	require.NoError(t, err)
	require.Equal(t, logging{level: zap.InfoLevel}, fromOperator(cfg).logging())
	cfg.Log.Level, cfg.Log.Format = "debug", "console"
	require.Equal(t, logging{zap.DebugLevel, true}, fromOperator(cfg).logging())
	level.SetLevel(fromOperator(cfg).logging().level)
	require.True(t, log.Core().Enabled(zap.DebugLevel))
}
