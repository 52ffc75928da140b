#pragma once

#include "platform/bounds.h"
#include "platform/decode.h"

#include <optional>
#include <string>

#include "edge.pb.h"

namespace plantainhaven::edge {

// What a running process takes over from changed settings.
struct ChangedSettings
{
  platform::Bounds bounds;
  platform::RegionByDomain regions;
  std::string storeAddress;
  std::string logLevel;
};

// Notices that the settings file has changed. A file that can't be used is told in the log
// and leaves what is in force; what needs a restart is told too.
class SettingsWatch
{
public:
  // `aCurrent` are the settings in force, read from `aFile`.
  SettingsWatch(std::string aFile, EdgedSettings aCurrent);

  // The changed settings; nothing when the file is as before or can't be used.
  std::optional<ChangedSettings> ReadIfChanged();

private:
  std::string file;
  std::string text;
  EdgedSettings current;
};

// The parts of the settings that are texts in a form of their own, decoded. kInvalid names
// key and remedy.
Result<ChangedSettings>
DecodeSettings(const EdgedSettings& aSettings);

} // namespace plantainhaven::edge
