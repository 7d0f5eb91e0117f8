// Package sketch counts the heaviest items of a stream in bounded memory.
package sketch
