// What the process tests judge answers by.

#ifndef GENTIANLB_PROCESS_VERDICTS_H_
#define GENTIANLB_PROCESS_VERDICTS_H_

#include <string>
#include <vector>

#include "process/callers.h"
#include "process/deployment.h"

namespace gentianlb::process {

// The whole content that any engine answers to `chat`.
std::string ExpectedText(const Chat& chat);

// An answer may be refused or cut, but it never holds what belongs to another
// request, and is never whole without being complete.
bool IsTruthful(const Answer& answer, const Chat& chat);

// The headers of one sending of a key.
std::vector<http::Header> Sending(const std::string& key, int attempt);

// Sends a keyed call again and again, as a patient caller does, until its
// answer is whole or a refusal is final. `host` gets the call.
Answer AskUntilFinal(Caller& caller, const std::string& host, const Chat& chat,
                     const std::string& key, int first_attempt = 1);

// Sends bytes as they are and returns all that comes back until the other side
// closes the connection.
std::string ExchangeRaw(const std::string& address, const std::string& bytes);

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_VERDICTS_H_
