// Package memory decides how much of a process's memory and descriptors the requests that it reads, and their responses, may take. Account
// and Plan are pure decisions; Gate, Conn and Listener apply them to connections, Serve and Buffered to servers of net/http.
package memory
