// Rows in the table of hosts. The first byte chooses the kind of row; of a crash row the first line is the key.
#include "base/Error.h"
#include "fleet/CrashRow.h"
#include "fleet/HostRecord.h"
#include "fuzz/RepeatedParts.h"
#include "fuzz/Require.h"

#include <algorithm>
#include <cstdint>

using namespace coriandergate;
using coriandergate::fuzz::require;

auto coriandergate::fuzz::testOneInput(const std::uint8_t* data, std::size_t size) -> int
{
    if (size < 1)
        return 0;
    const std::string_view text(reinterpret_cast<const char*>(data) + 1, size - 1);
    Error reason;
    if (data[0] % 2 == 0) {
        if (const auto record = fleet::decodeHostRecord("west/0-host", text, reason)) {
            const auto again = fleet::decodeHostRecord("west/0-host", fleet::encodeHostRecord(*record), reason);
            require(again && *again == *record);
        }
        return 0;
    }
    const auto lineEnd = std::min(text.find('\n'), text.size());
    const auto key = text.substr(0, lineEnd);
    if (const auto fingerprint = fleet::parseCrashRowKey(key))
        require(fleet::parseCrashRowKey(fleet::crashRowKey("west", *fingerprint)) == fingerprint);
    const auto value = text.substr(std::min(lineEnd + 1, text.size()));
    if (const auto time = fleet::decodeCrashRow(key, value, reason))
        require(fleet::decodeCrashRow(key, fleet::encodeCrashRow(*time), reason) == time);
    return 0;
}
