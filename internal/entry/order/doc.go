// Package order decides which waiting requests get slots first when there is too little room, and which are rejected. It values a
// request by its priority, its objective and the work that requests of its route need, and keeps each route from starving.
package order
