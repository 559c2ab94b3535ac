// The operators' statement of intent: a YAML file (or JSON, which YAML contains) that lives in version control.
//
//   services:
//     - name: ledger
//       healthyFloor: 0.7
//       preferredDataCentres: [rajkot-1, rajkot-2]
//       placements:
//         - { callerDataCentre: surat-1, dataCentres: [surat-1, rajkot-1] }
//   clientAccounts:
//     - name: member-1
//       ratePerSecond: 50
//       burst: 100
//   routes:
//     - { name: quotas, pathPrefix: /quotas, service: ledger, repeatPolicy: idempotent, deadline: 2s }
//
// An account without `keyDigests` leaves its keys to `keys issue` and `keys withdraw`; one with the list states all of
// its keys. Every fault of a file is reported at once:
//
//   std::vector<DeclarationFault> faults;
//   const auto declaration = parseDeclaration(text, faults);
//   for (const auto& fault : faults)
//       print(fault.toText("mesh.yaml")); // "mesh.yaml:9:22: clientAccounts[0].burst: '0' is out of range (1 to ...)"
#pragma once

#include "config/Configuration.h"
#include "config/DeclarationFault.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::config {

// Declaration is a valid statement of intent. The version of its configuration is 0.
struct Declaration {
    Configuration configuration;
    std::set<std::string> accountsWithManagedKeys; // accounts that came without `keyDigests`
};

// parseDeclaration() reads and checks a whole declaration. On any fault it returns nullopt, with every fault that could
// be found, in order of place, in `faults`. Memory stays within the size of the result and of one entry of the text.
// Safe from any thread.
[[nodiscard]] auto parseDeclaration(std::string_view text, std::vector<DeclarationFault>& faults)
    -> std::optional<Declaration>;

// writeDeclaration() is the text that parses back into `configuration`, keys' digests included. Safe from any thread.
[[nodiscard]] auto writeDeclaration(const Configuration& configuration) -> std::string;

} // namespace coriandergate::config
