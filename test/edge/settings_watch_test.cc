#include "edge/settings_watch.h"

#include "plantainhaven/common/settings.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace plantainhaven::edge {
namespace {

std::string
TextWith(const std::string& aBounds, const std::string& aPlaces, const std::string& aMore)
{
  return "[vm]\nname = vm-1\naddress = 127.0.0.1\nregion = north\nfailure_domain = north-a\n"
         "[listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\nlookups = 127.0.0.1:3\n"
         "peers = 4\nmetrics = 5\n[store]\naddress = 127.0.0.1:6\n"
         "[places]\nfailure_domains = " +
         aPlaces + "\n[bounds]\nvalues = " + aBounds + "\n" + aMore;
}

class SettingsFile
{
public:
  SettingsFile()
    : name("settings-" + std::to_string(::getpid()) + ".ini")
  {
    this->Write(TextWith("grace_s=6", "north-a=north", ""));
  }
  ~SettingsFile() { std::remove(this->name.c_str()); }

  void Write(const std::string& aText) { std::ofstream(this->name) << aText; }
  EdgedSettings Read() const
  {
    EdgedSettings settings;
    REQUIRE(IsOk(ReadSettingsFile(this->name, settings)));
    return settings;
  }
  const std::string& Name() const { return this->name; }

private:
  std::string name;
};

TEST_CASE("Changed settings are applied, an invalid file leaves the current settings in force")
{
  struct Case
  {
    std::string name;
    std::string text;
    bool isApplied;
  };
  const Case cases[] = {
    { "unchanged", TextWith("grace_s=6", "north-a=north", ""), false },
    { "another bound", TextWith("grace_s=9", "north-a=north", ""), true },
    { "another place", TextWith("grace_s=6", "north-a=north,south-a=south", ""), true },
    { "a bound that is not a number", TextWith("grace_s=long", "north-a=north", ""), false },
    { "a place without a region", TextWith("grace_s=6", "north-a", ""), false },
    { "an unknown section", TextWith("grace_s=6", "north-a=north", "[colour]\nx = y\n"), false },
    { "empty", "", false },
  };
  for (const Case& entry : cases) {
    CAPTURE(entry.name);
    SettingsFile file;
    SettingsWatch watch(file.Name(), file.Read());
    CHECK_FALSE(watch.ReadIfChanged());
    file.Write(entry.text);
    CHECK(watch.ReadIfChanged().has_value() == entry.isApplied);
    CHECK_FALSE(watch.ReadIfChanged());
    // A repaired file is applied after an invalid one.
    file.Write(TextWith("grace_s=4,max_shift=0.1", "north-a=north", ""));
    const auto repaired = watch.ReadIfChanged();
    REQUIRE(repaired);
    CHECK(repaired->bounds.stopGrace == std::chrono::seconds(4));
    CHECK(repaired->bounds.maxShift == Approx(0.1));
    CHECK(repaired->storeAddress == "127.0.0.1:6");
  }
}

} // namespace
} // namespace plantainhaven::edge
