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

// One key=value pair of a log line. Values that are empty or contain white space, control
// characters, quotes, '=' or backslashes are quoted.
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

// Writes the log lines of this process to standard error through Boost.Log, on a separate
// thread, so that a blocked reader of standard error doesn't block the callers of Log(). When
// the queue is full, lines are dropped and counted in the field `dropped` of the next line.
// `aLevel` is "debug", "info", "warning" or "error"; any other word means "info". Call once.
void
StartLog(std::string_view aProgram, std::string_view aLevel);

// Sets the minimum level of the lines that are written.
void
SetLogLevel(std::string_view aLevel);

// Flushes the queue, writes the counts of suppressed lines and closes the log. Call at the end
// of main(): the exit handler only flushes the queue and doesn't write these counts.
void
StopLog();

// Writes one line: time, level, program, event=..., then the fields in order. At most 40
// lines a second are written for each event; the field `left_out` of the event's next line
// counts the suppressed ones.
void
Log(LogLevel aLevel, std::string_view aEvent, std::initializer_list<LogField> aFields = {});

} // namespace plantainhaven
