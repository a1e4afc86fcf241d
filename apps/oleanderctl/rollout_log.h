// Reads the lines about roll-outs from the log of an instance.
#ifndef OLEANDER_APPS_OLEANDERCTL_ROLLOUT_LOG_H_
#define OLEANDER_APPS_OLEANDERCTL_ROLLOUT_LOG_H_

#include <nlohmann/json.hpp>
#include <string_view>

namespace oleander::ctl {

// Returns the fields of a log line of key=value pairs as an object of texts;
// null if the line isn't one. Escapes in quoted values are undone.
nlohmann::json ParseLogLine(std::string_view line);

// Returns the lines whose event begins with "rollout.", in the order of the
// log, as a list of objects.
nlohmann::json RolloutLines(std::string_view log);

// Returns the last stage of each roll-out that the lines tell of.
nlohmann::json StagesIn(const nlohmann::json& lines);

}  // namespace oleander::ctl

#endif  // OLEANDER_APPS_OLEANDERCTL_ROLLOUT_LOG_H_
