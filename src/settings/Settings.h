// The values of all settings of one program, checked as a whole.
//
//   std::vector<Error> faults;
//   auto settings = readSettings(program, arguments, environment, faults);
//   if (!settings) {
//       for (const auto& fault : faults)
//           std::cerr << fault.toText() << '\n';
//   }
//   const auto limit = settings->integer("queue-limit");
#pragma once

#include "base/Error.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace coriandergate::settings {

// Settings is immutable after it was read. Asking for a name that nobody declared ends the program: it is a mistake in
// the code, not of the user.
class Settings {
public:
    explicit Settings(std::map<std::string, std::string> values);

    [[nodiscard]] auto text(const std::string& name) const -> const std::string&;
    [[nodiscard]] auto integer(const std::string& name) const -> std::int64_t;
    [[nodiscard]] auto duration(const std::string& name) const -> std::chrono::milliseconds;

    // list() is the parts of a value that are separated by commas, without blanks around them.
    [[nodiscard]] auto list(const std::string& name) const -> std::vector<std::string>;

private:
    std::map<std::string, std::string> m_values;
};

// Environment looks up one environment variable.
using Environment = std::function<std::optional<std::string>(const std::string& name)>;

// usageText() is the --help text of `program` with every registered setting, in the form that docopt reads.
[[nodiscard]] auto usageText(const std::string& program, const std::string& summary) -> std::string;

// readSettings() reads flags and environment with docopt and checks each value against its range. Every fault is added
// to `faults`, with the setting as the peer; then there is no result. Flags go before the environment.
[[nodiscard]] auto readSettings(const std::string& program, const std::string& summary,
    const std::vector<std::string>& arguments, const Environment& environment, std::vector<Error>& faults)
    -> std::optional<Settings>;

// variableName() is the environment variable of a setting: "queue-limit" gives "CORIANDERGATE_QUEUE_LIMIT".
[[nodiscard]] auto variableName(const std::string& setting) -> std::string;

// processEnvironment() looks up this process's environment.
[[nodiscard]] auto processEnvironment() -> Environment;

} // namespace coriandergate::settings
