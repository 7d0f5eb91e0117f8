// Package sketch finds the most frequent items of a stream (heavy hitters) in bounded memory.
package sketch
