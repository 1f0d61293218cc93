// Package drain stores the drain requests of operators. A VM whose object
// drains/{vm} exists and is not marked as ended gets no new work.
package drain
