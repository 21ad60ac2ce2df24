package result

import (
	"fmt"
	"strings"
)

// Reference returns the content of docs/RESULTS.md, generated from the registry.
func Reference() string {
	var page strings.Builder
	page.WriteString("# Result codes\n\n")
	page.WriteString("This page is generated from the registry in package result by `.ci/pages`. Each response carries its code in the header Hickoryhead-Result; an error response also carries it in its JSON body.\n\n")
	page.WriteString("| code | name | status | outcome | retry on another | title | what it means |\n")
	page.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, entry := range entries {
		fmt.Fprintf(&page, "| %s | %s | %d | %s | %t | %s | %s |\n", entry.Code, entry.Name, entry.Status, entry.Outcome, entry.RetryOnAnother, entry.Title, entry.Text)
	}
	return page.String()
}
