#pragma once

#include "platform/bounds.h"
#include "platform/decode.h"

#include <optional>
#include <string>

#include "edge.pb.h"

namespace plantainhaven::edge {

// The settings that a running process applies without a restart.
struct ChangedSettings
{
  platform::Bounds bounds;
  platform::RegionByDomain regions;
  std::string storeAddress;
  std::string logLevel;
};

// Detects changes of the settings file. If the new file is invalid, this is logged and the current
// settings remain in force. Changes that need a restart are logged too.
class SettingsWatch
{
public:
  // `aCurrent` contains the settings in force, read from `aFile`.
  SettingsWatch(std::string aFile, EdgedSettings aCurrent);

  // Returns the new settings; std::nullopt if the file is unchanged or invalid.
  std::optional<ChangedSettings> ReadIfChanged();

private:
  std::string file;
  std::string text;
  EdgedSettings current;
};

// Decodes the settings whose values are structured strings. An error is of kind kInvalid and names
// the key and a remedy.
Result<ChangedSettings>
DecodeSettings(const EdgedSettings& aSettings);

} // namespace plantainhaven::edge
