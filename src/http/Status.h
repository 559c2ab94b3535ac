// Status codes of HTTP answers that more than one part of the system gives or reads.
//
//   exchange->answer(http::makeAnswer(http::statusUnavailable, "text/plain", "no slot in time"));
#pragma once

namespace coriandergate::http {

inline constexpr int statusOk = 200;
inline constexpr int statusCreated = 201;
inline constexpr int statusNoContent = 204;
inline constexpr int statusBadRequest = 400;
inline constexpr int statusUnauthorized = 401;
inline constexpr int statusForbidden = 403;
inline constexpr int statusNotFound = 404;
inline constexpr int statusMethodNotAllowed = 405;
inline constexpr int statusRequestTimeout = 408;
inline constexpr int statusConflict = 409;
inline constexpr int statusGone = 410;
inline constexpr int statusPreconditionFailed = 412;
inline constexpr int statusContentTooLarge = 413;
inline constexpr int statusMisdirected = 421;
inline constexpr int statusUnprocessable = 422;
inline constexpr int statusTooManyRequests = 429;
inline constexpr int firstServerError = 500;
inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusGatewayTimeout = 504;

} // namespace coriandergate::http
