// Package config reads, validates and completes a node's configuration. There are two sources: the platform's
// variables and JSON file (PlatformConfig), and a TOML file of an operator who runs the program elsewhere
// (OperatorFile). Each validation error is a *KeyError, or wraps the error of a parser, and its message begins with
// the key at fault.
package config
