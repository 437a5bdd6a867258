// Command errorsdoc prints the table of result codes as Markdown.
package main

import (
	"fmt"

	"github.com/tinarch/tinarch/internal/result"
)

func main() { fmt.Print(result.Markdown()) }
