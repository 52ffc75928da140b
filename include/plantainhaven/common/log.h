#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace plantainhaven {

enum class LogLevel
{
  kDebug,
  kInfo,
  kWarning,
  kError,
};

// One key=value pair of a log line. Values with blanks or quotes are quoted.
struct LogField
{
  LogField(std::string_view aKey, std::string_view aValue);
  LogField(std::string_view aKey, const char* aValue);
  LogField(std::string_view aKey, bool aValue);
  template<typename T, typename = std::enable_if_t<std::is_arithmetic_v<T>>>
  LogField(std::string_view aKey, T aValue)
    : key(aKey)
    , value(std::to_string(aValue))
  {
  }

  std::string key;
  std::string value;
};

// Sends log lines of this process to standard error through Boost.Log, on a thread of their
// own: a reader that stands still holds nobody, lines that don't fit are dropped and counted
// in `dropped` of the next line. `aLevel` is "debug", "info", "warning" or "error"; another
// word is taken as "info". Call once.
void
StartLog(std::string_view aProgram, std::string_view aLevel);

// Changes the least level that is written.
void
SetLogLevel(std::string_view aLevel);

// Writes what still waits, with the counts of lines left out, and ends the log. Call at the
// end of main(); at the end of the process only what waits is written.
void
StopLog();

// Writes one line: time, level, program, event=..., then the fields in order. Of one event
// at most 40 lines a second are written; `left_out` of the next one counts the others.
void
Log(LogLevel aLevel, std::string_view aEvent, std::initializer_list<LogField> aFields = {});

} // namespace plantainhaven
