// Package cmds implements the command lines of the daemon (ebonyrilld) and of operators (ebonyrill).
package cmds
