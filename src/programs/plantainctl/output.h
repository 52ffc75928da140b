#pragma once

#include "programs/plantainctl/options.h"

#include <string>
#include <vector>

#include "resources.pb.h"

namespace plantainhaven::ctl {

// Rows of text that are printed in columns as wide as their widest cell.
class Table
{
public:
  explicit Table(std::vector<std::string> aHeadings);

  void Add(std::vector<std::string> aRow);
  // The whole table, one row a line, without blanks at the ends of lines.
  std::string Text() const;

private:
  std::vector<std::vector<std::string>> rows;
};

// A table of resources of one kind, a column for each of its fields.
std::string
ResourceTable(const std::string& aKind, const ResourceList& aList);

// One resource, a line for each field.
std::string
ResourceText(const Resource& aResource);

// What became of a write.
std::string
OutcomeText(const WriteOutcome& aOutcome);

// A fleet's status: this VM, then a table of all VMs.
std::string
StatusText(const FleetStatus& aStatus);

} // namespace plantainhaven::ctl
