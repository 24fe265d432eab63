// Package config reads a node's configuration, sets the defaults and validates the values. There are two sources: the
// platform's environment variables and JSON file (PlatformConfig), and the TOML file of an operator who runs the
// program elsewhere (OperatorFile). A validation error is a *KeyError or wraps the error of a parser, and its message
// begins with the key at fault.
package config
