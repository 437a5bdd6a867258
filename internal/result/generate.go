package result

//go:generate sh -c "go run ./errorsdoc > ../../docs/ERRORS.md"
