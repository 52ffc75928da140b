#include "plantainhaven/common/settings.h"

#include "settings.pb.h"

#include <chrono>
#include <sstream>

#include <catch2/catch.hpp>

namespace plantainhaven {
namespace {

using namespace std::chrono_literals;

constexpr const char* kValid = "# stand-in\n"
                               "[server]\n"
                               "name = kochi-1\n"
                               "port = 8080\n"
                               "work = 250ms\n";

Result<Done>
Read(const std::string& aText, google::protobuf::Message& aSettings)
{
  std::istringstream input(aText);
  return ReadSettings(input, "test.ini", aSettings);
}

TEST_CASE("Settings take given values and the schema's defaults")
{
  BackendStandinSettings settings;
  REQUIRE(IsOk(Read(kValid, settings)));
  CHECK(settings.server().name() == "kochi-1");
  CHECK(settings.server().port() == 8080);
  CHECK(ToChrono(settings.server().work()) == 250ms);
  CHECK(settings.server().address() == "127.0.0.1");
  CHECK(settings.server().slots() == 9);
  CHECK(settings.log().level() == "info"); // The section isn't in the file.
}

struct Fault
{
  const char* text;
  const char* place; // Part of the message.
  const char* field;
};

TEST_CASE("Wrong settings are refused with place, field and remedy and change nothing")
{
  const Fault faults[] = {
    { "[server]\nname = a\nport = 1\ncolour = red\n", "test.ini:4:", "server.colour" },
    { "[server]\nname = a\nport = 1\n[servers]\n", "test.ini:4:", "servers" },
    { "[server]\nname = a\nport = 1\nport = 2\n", "test.ini:4:", "server.port" },
    { "[server]\nname = a\n[log]\n[server]\nport = 1\n", "test.ini:4:", "server" },
    { "[server]\nname = a\nport = 0\n", "from 1 to 65535", "server.port" },
    { "[server]\nname = a\nport = 65536\n", "\"65536\"", "server.port" },
    { "[server]\nname = a\nport = -1\n", "whole number", "server.port" },
    { "[server]\nname = a\nport = 99999999999\n", "whole number", "server.port" },
    { "[server]\nname = a\nport = 80x\n", "\"80x\"", "server.port" },
    { "[server]\nname = a\nport =\n", "expected a value", "server.port" },
    { "[server]\nname =\nport = 1\n", "test.ini:2:", "server.name" },
    { "[server]\nname = a\n", "no such key", "server.port" },
    { "[log]\nlevel = info\n", "no such key", "server.name" },
    { "[server]\nname = a\nport = 1\nwork = 10\n", "with a unit", "server.work" },
    { "[server]\nname = a\nport = 1\nwork = 10 d\n", "with a unit", "server.work" },
    { "[server]\nname = a\nport = 1\nwork = ms\n", "with a unit", "server.work" },
    { "[server]\nname = a\nport = 1\nwork = -1ms\n", "from 0 to 600 s", "server.work" },
    { "[server]\nname = a\nport = 1\nwork = 601s\n", "from 0 to 600 s", "server.work" },
    { "[server]\nname = a\nport = 1\nwork = nans\n", "with a unit", "server.work" },
    { "[server]\nname = a\nport = 1\n[log]\nlevel = loud\n", "\"loud\"", "log.level" },
    { "port = 1\n", "before the first section", "port" },
    { "[server\nname = a\n", "test.ini:1:", "" },
    { "[server]\nname\n", "test.ini:2:", "" },
  };
  for (const Fault& fault : faults) {
    INFO(fault.text);
    BackendStandinSettings settings;
    settings.mutable_server()->set_name("before");
    const auto result = Read(fault.text, settings);
    REQUIRE_FALSE(IsOk(result));
    CAPTURE(ErrorOf(result).message);
    CHECK(ErrorOf(result).kind == ErrorKind::kInvalid);
    CHECK(ErrorOf(result).message.find(fault.place) != std::string::npos);
    CHECK(ErrorOf(result).message.starts_with("test.ini"));
    CHECK(ErrorOf(result).field == fault.field);
    CHECK_FALSE(ErrorOf(result).remedy.empty());
    CHECK(settings.server().name() == "before");
    CHECK(settings.server().port() == 0);
  }
}

TEST_CASE("Durations take every unit")
{
  struct Case
  {
    const char* text;
    std::chrono::nanoseconds expected;
  };
  const Case cases[] = {
    { "750us", 750us }, { "20 ms", 20ms }, { "1.5s", 1500ms }, { "0s", 0s },
    { "2min", 2min },   { "0.1h", 6min },  { "600s", 600s },
  };
  for (const Case& one : cases) {
    INFO(one.text);
    BackendStandinSettings settings;
    const std::string text = "[server]\nname=a\nport=1\nwork=" + std::string(one.text) + "\n";
    REQUIRE(IsOk(Read(text, settings)));
    CHECK(ToChrono(settings.server().work()) == one.expected);
    CHECK(ToChrono(FromChrono(one.expected)) == one.expected);
  }
}

TEST_CASE("A missing settings file is an error that names it")
{
  BackendStandinSettings settings;
  const auto result = ReadSettingsFile("/nowhere/backend.ini", settings);
  REQUIRE_FALSE(IsOk(result));
  CHECK(ErrorOf(result).message.find("/nowhere/backend.ini") != std::string::npos);
}

TEST_CASE("The description of settings names section, key, unit, default and bounds")
{
  const std::string text = DescribeSettings(BackendStandinSettings());
  CHECK(text.find("[server]\n") != std::string::npos);
  CHECK(text.find("work [s] (default \"10ms\") (0 to 600) Time that one request takes.") !=
        std::string::npos);
  CHECK(text.find("port (required) (1 to 65535)") != std::string::npos);
}

} // namespace
} // namespace plantainhaven
