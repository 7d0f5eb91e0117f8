// Package cmds holds the command lines of the daemon and of operators.
package cmds
