// Package memory decides how much of a process's memory and descriptors the requests that it reads may take. Account and Plan are pure
// decisions; Gate, Conn and Listener apply them to connections.
package memory
