// One line of the audit trail, kept in the platform's table service.
#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <string>

namespace coriandergate::control {

// AuditRecord says who changed what, when, from which version to which, by which plan, and how it ended.
struct AuditRecord {
    std::string operatorName;
    WallTime at;
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    std::string digest; // of the version led to
    std::string planId;
    std::string purpose;
    std::string result; // "accepted" or "refused: ..."

    friend auto operator==(const AuditRecord&, const AuditRecord&) -> bool = default;
};

} // namespace coriandergate::control
