// Takes the requests that entries forward to the daemon beside the target.
//
//   if (exchange->request().headers.find(headers::forward))
//       handleForwarded(context, std::move(exchange));
#pragma once

#include <memory>

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::proxy {

struct ProxyContext;

// handleForwarded() runs a forwarded request on its target and answers with the target's answer or a refusal, and with
// the owner's report. On the exchange's worker.
auto handleForwarded(std::shared_ptr<const ProxyContext> context, std::shared_ptr<http::Exchange> exchange) -> void;

} // namespace coriandergate::proxy
