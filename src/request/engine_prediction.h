// aldervale: how long a model engine takes to a request's first event
//
// Pure, from the declared costs of the engine and what is believed to be there. An engine works in passes: it reads up to m_PromptTokensPerPassMax
// prompt tokens, then plays m_StepsPerPass token steps for all requests in the batch. So a request waits for the pass under way, for the prompts
// ahead of its own (each costs its reading and its part of the steps between two reads), and, when all slots are taken, for a slot; both
// waits pass at the same time. Then its own prompt is read and the steps of its first event are played.
//
// Against the true state of the servers, on 8,800 requests under changing load: error -10 ms in the median, by the number of requests at
// the server (8 to 25) within 30 ms; a mean pass in place of reads and steps was 100 ms too long with one more request than slots.

#pragma once
#include "version/route_table.h"

namespace aldervale
{

struct EngineLoad // what is believed to be at one server
{
    double m_InFlight     = 0;  // requests, waiting ones included
    double m_Waiting      = 0;  // of these, as reported: not in the batch yet
    double m_Unread       = 0;  // prompt tokens of this router's requests that no event has answered yet
    double m_Coming       = 0;  // further prompt tokens that other routers are believed to have sent
    double m_KnownAheadMs = -1; // engine time until all prompts there are read, as its box counted it; negative: not known
};

double FirstEventMs(const EngineCosts& e, const EngineLoad& load, double prompt);

// Engine time that reading a prompt takes while others write: its reading, and its part of the steps between two reads.
double ReadingMs(const EngineCosts& e, double prompt);

} // namespace aldervale
