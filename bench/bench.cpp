// aldervale-bench: the load side of scripts/bench. Sends requests at a fixed rate whether or not answers come back (open loop), checks
// every answer byte by byte, and prints one JSON object. What ran twice, or ran although told "not run", is counted from the stand-ins.
#include "common/hash.h"
#include "connection/http.h"
#include "process/daemon.h"
#include "request/key_journal.h"
#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <sys/resource.h>
#include <thread>

using namespace aldervale;

namespace
{

//-----------------------------------------------------------------------------
// Arguments
//-----------------------------------------------------------------------------

struct Arguments
{
    std::vector<std::string> m_Routers;            // callers are spread over these
    std::vector<std::string> m_Plain;              // plain service stand-ins, asked at the end
    std::string              m_Direct;             // with the mix "direct": this stand-in itself
    std::string              m_Mix       = "chat"; // chat, loans, turbine, reads, direct
    std::string              m_ChatPath  = "/v1/assistant";
    std::string              m_KeyedPath = "/v1/loans";
    std::string              m_ReadPath  = "/v1/hours/today";
    std::vector<std::string> m_Accounts  = {"a"}; // tokens are token-NAME
    std::string              m_Greedy;            // this account offers m_GreedyRps besides
    double                   m_GreedyRps = 0;     //
    double                   m_Rps       = 50;    //
    double                   m_Seconds   = 5;     //
    int                      m_Prefixes  = 20;    // distinct shared prefixes
    int                      m_Threads   = 2;     //
    uint64_t                 m_Seed      = 1;     //
};

//-----------------------------------------------------------------------------
// What one request came to
//-----------------------------------------------------------------------------

struct Outcome
{
    std::string m_Account;            //
    std::string m_Kind;               // chat, keyed, read
    std::string m_Key;                // keyed calls
    std::string m_Verdict;            // of the last answer: ran, not-run, may-have-run, broken
    bool        m_ToldNotRun = false; // some answer said so
    bool        m_Whole      = false; // the bytes are what they must be
    double      m_Seconds    = 0;     //
    double      m_FirstByte  = 0;     // seconds; streams only
    unsigned    m_Tries      = 1;     //
};

struct Tally // thread-safe
{
    std::mutex           m_Mutex; // guards m_All
    std::vector<Outcome> m_All;   //

    void Add(Outcome o)
    {
        std::lock_guard lock(m_Mutex);
        m_All.push_back(std::move(o));
    }
};

struct Shared
{
    Arguments             m_Arguments; //
    std::vector<Endpoint> m_Routers;   //
    HttpClient            m_Client;    //
    Tally                 m_Tally;     //
    std::atomic<uint64_t> m_Open{0};   // requests without an answer yet
};

struct Plan // one request, drawn before it is sent
{
    std::string m_Kind;       //
    std::string m_Account;    //
    std::string m_Prompt;     //
    int64_t     m_Tokens = 0; //
    std::string m_Key;        //
    size_t      m_Router = 0; //
};

std::string Prefix(uint64_t n)
{
    std::string text;
    for (uint64_t i = 0; text.size() < 1600; i++)
        text += "w" + std::to_string(Hash64(std::to_string(n), i) % 100'000) + " ";
    return text;
}

Plan Draw(const Arguments& a, Random& random, uint64_t number, bool greedy)
{
    Plan         p;
    const auto   pick  = [&](uint64_t n) { return random() % n; };
    const double where = static_cast<double>(random() >> 11) * 0x1p-53;
    p.m_Account        = greedy ? a.m_Greedy : a.m_Accounts[pick(a.m_Accounts.size())];
    p.m_Router         = pick(a.m_Routers.empty() ? 1 : a.m_Routers.size());
    p.m_Kind           = a.m_Mix;
    if (a.m_Mix == "loans")
        p.m_Kind = where < 0.5 ? "keyed" : "read";
    if (a.m_Mix == "turbine")
        p.m_Kind = where < 0.6 ? "chat" : where < 0.9 ? "read" : "keyed";
    if (a.m_Mix == "reads")
        p.m_Kind = "read";
    if (p.m_Kind == "chat")
    {
        p.m_Tokens = pick(10) == 0 ? 60 + static_cast<int64_t>(pick(60)) : 4 + static_cast<int64_t>(pick(8)); // uneven lengths
        p.m_Prompt = Prefix(pick(static_cast<uint64_t>(a.m_Prefixes))) + "question " + std::to_string(number);
    }
    if (p.m_Kind == "keyed")
        p.m_Key = MakeUuid7(WallMs(), 0, random());
    return p;
}

//-----------------------------------------------------------------------------
// Sending
//-----------------------------------------------------------------------------

std::string ExpectedStream(const Plan& p)
{
    std::string out;
    for (int64_t i = 0; i < p.m_Tokens; i++)
        out += "data: t" + std::to_string(i) + "-" + std::to_string(Hash64(p.m_Prompt, static_cast<uint64_t>(i)) % 1000) + " \n\n";
    return out + "data: [DONE]\n\n";
}

HttpRequest MakeRequest(const Shared& s, const Plan& p)
{
    HttpRequest req;
    req.m_Fields = {{"Authorization", "Bearer token-" + p.m_Account}, {"Content-Type", "application/json"}};
    req.m_Target = s.m_Arguments.m_ReadPath;
    if (p.m_Kind == "chat")
    {
        req.m_Method = "POST";
        req.m_Target = s.m_Arguments.m_ChatPath;
        req.m_Body   = json::serialize(json::object{{"prompt", p.m_Prompt}, {"max_tokens", p.m_Tokens}, {"stream", true}});
    }
    if (p.m_Kind == "keyed")
    {
        req.m_Method = "POST";
        req.m_Target = s.m_Arguments.m_KeyedPath;
        req.m_Body   = "{\"loan\": \"" + p.m_Key + "\"}";
        req.m_Fields.push_back({"Idempotency-Key", p.m_Key});
    }
    return req;
}

bool CheckBody(const Plan& p, const std::string& body)
{
    if (p.m_Kind == "chat")
        return body == ExpectedStream(p);
    json::error_code  ec;
    const json::value v = json::parse(body, ec);
    if (ec || !v.is_object() || !v.as_object().contains("echo"))
        return false;
    return p.m_Kind != "keyed" || v.at("echo").as_string() == std::string_view("{\"loan\": \"" + p.m_Key + "\"}");
}

// One attempt; fills in the verdict, times and whether the answer is whole.
awaitable<void> SendOnce(Shared& s, const Plan& p, size_t router, Outcome& o)
{
    const TimePoint   started = Now();
    const HttpRequest req     = MakeRequest(s, p);
    auto              opened  = co_await s.m_Client.Open(s.m_Routers[router], req, started + seconds(60));
    o.m_Verdict               = "broken";
    o.m_FirstByte             = 0;
    if (!opened)
    {
        o.m_Seconds = ToSeconds(Now() - started);
        if (opened.error().m_Verdict == Verdict_NotRun)
            o.m_Verdict = "refused-connection"; // nothing was said by anybody
        co_return;
    }
    HttpStreamPtr     stream = std::move(opened.value());
    const std::string verdict(FindField(stream->Head().m_Fields, "Aldervale-Verdict"));
    std::string       body;
    for (;;)
    {
        auto piece = co_await stream->Read(started + seconds(60));
        if (!piece)
        {
            o.m_Seconds = ToSeconds(Now() - started);
            co_return;
        }
        if (o.m_FirstByte == 0)
            o.m_FirstByte = ToSeconds(Now() - started);
        if (piece.value().m_Done)
            break;
        body.append(piece.value().m_Bytes);
    }
    o.m_Seconds = ToSeconds(Now() - started);
    o.m_Verdict = !verdict.empty() ? verdict : std::string(FindField(stream->Trailers(), "Aldervale-Verdict"));
    if (p.m_Kind == "direct")
        o.m_Verdict = "ran";
    o.m_Whole = stream->Head().m_Status / 100 == 2 && CheckBody(p, body);
}

awaitable<void> SendRequest(Shared& s, Plan p)
{
    constexpr unsigned kKeyedTries = 4; // a caller repeats a loan with the same key, at another entry box
    Outcome            o;
    o.m_Account  = p.m_Account;
    o.m_Kind     = p.m_Kind;
    o.m_Key      = p.m_Key;
    double spent = 0;
    for (o.m_Tries = 1;; o.m_Tries++)
    {
        co_await SendOnce(s, p, (p.m_Router + o.m_Tries - 1) % s.m_Routers.size(), o);
        spent += o.m_Seconds;
        o.m_ToldNotRun = o.m_ToldNotRun || o.m_Verdict == "not-run";
        if (p.m_Kind != "keyed" || o.m_Verdict == "ran" || o.m_Verdict == "not-run" || o.m_Tries >= kKeyedTries)
            break;
        co_await SleepFor(milliseconds(100));
    }
    o.m_Seconds = spent;
    s.m_Tally.Add(std::move(o));
    s.m_Open.fetch_sub(1);
}

awaitable<void> Pace(asio::io_context& ioc, Shared& s, double rps, bool greedy, uint64_t seed)
{
    Random          random(seed);
    const TimePoint started = Now();
    const uint64_t  total   = static_cast<uint64_t>(rps * s.m_Arguments.m_Seconds);
    for (uint64_t n = 0; n < total; n++)
    {
        const TimePoint due = started + FromSeconds(static_cast<double>(n) / rps);
        if (due > Now())
            co_await SleepFor(due - Now());
        s.m_Open.fetch_add(1);
        Spawn(ioc, SendRequest(s, Draw(s.m_Arguments, random, n, greedy)));
    }
}

//-----------------------------------------------------------------------------
// Result
//-----------------------------------------------------------------------------

double QuantileMs(std::vector<double> v, double q)
{
    if (v.empty())
        return 0;
    std::sort(v.begin(), v.end());
    return 1000 * v[std::min(v.size() - 1, static_cast<size_t>(q * static_cast<double>(v.size())))];
}

awaitable<json::object> ReadStats(Shared& s, std::string at)
{
    HttpRequest req;
    req.m_Target = "/admin/stats";
    auto res     = co_await s.m_Client.Call(ParseEndpoint(at).value(), req, Now() + seconds(10));
    if (!res)
        co_return json::object();
    json::error_code  ec;
    const json::value v = json::parse(res.value().m_Body, ec);
    co_return ec ? json::object() : v.as_object();
}

awaitable<void> CountRuns(Shared& s, std::map<std::string, uint64_t>& runs)
{
    for (const std::string& at : s.m_Arguments.m_Plain)
    {
        const json::object stats = co_await ReadStats(s, at);
        const json::value* all   = stats.if_contains("runs");
        if (all == nullptr)
            continue;
        for (const auto& r : all->as_object())
            runs[std::string(r.key())] += r.value().to_number<uint64_t>();
    }
}

json::object Summarize(const Shared& s, const std::map<std::string, uint64_t>& runs)
{
    std::map<std::string, uint64_t>            verdicts;
    std::map<std::string, std::vector<double>> by_account;
    std::vector<double>                        seconds_all;
    std::vector<double>                        first;
    uint64_t                                   wrong         = 0;
    uint64_t                                   cut           = 0;
    uint64_t                                   false_not_run = 0;
    uint64_t                                   run_twice     = 0;
    uint64_t                                   answered      = 0;
    for (const Outcome& o : s.m_Tally.m_All)
    {
        verdicts[o.m_Verdict]++;
        answered += o.m_Verdict == "ran" ? 1 : 0;
        wrong += o.m_Verdict == "ran" && !o.m_Whole ? 1 : 0;
        cut += o.m_Verdict == "broken" ? 1 : 0;
        const auto ran = runs.find(o.m_Key);
        false_not_run += !o.m_Key.empty() && o.m_ToldNotRun && ran != runs.end() ? 1 : 0;
        if (o.m_Verdict != "ran")
            continue;
        seconds_all.push_back(o.m_Seconds);
        by_account[o.m_Account].push_back(o.m_Seconds);
        if (o.m_Kind == "chat")
            first.push_back(o.m_FirstByte);
    }
    for (const auto& [key, n] : runs)
        run_twice += n > 1 ? 1 : 0;
    json::object verdict_counts;
    for (const auto& [v, n] : verdicts)
        verdict_counts[v] = n;
    std::vector<double> polite;
    for (const auto& [name, v] : by_account)
        if (name != s.m_Arguments.m_Greedy)
            polite.insert(polite.end(), v.begin(), v.end());
    json::object admitted;
    for (const auto& [name, v] : by_account)
        admitted[name] = static_cast<double>(v.size()) / s.m_Arguments.m_Seconds;
    return {{"sent", s.m_Tally.m_All.size()},
            {"answered", answered},
            {"verdicts", verdict_counts},
            {"wrong", wrong},
            {"cut", cut},
            {"run_twice", run_twice},
            {"false_not_run", false_not_run},
            {"p50_ms", QuantileMs(seconds_all, 0.5)},
            {"p95_ms", QuantileMs(seconds_all, 0.95)},
            {"p99_ms", QuantileMs(seconds_all, 0.99)},
            {"first_token_p95_ms", QuantileMs(first, 0.95)},
            {"polite_p99_ms", QuantileMs(polite, 0.99)},
            {"answered_rps", admitted}};
}

int Run(Arguments a)
{
    asio::io_context ioc(a.m_Threads); // outlives the connections that Shared keeps
    Shared           s;
    s.m_Arguments = std::move(a);
    for (const std::string& at : s.m_Arguments.m_Mix == "direct" ? std::vector<std::string>{s.m_Arguments.m_Direct} : s.m_Arguments.m_Routers)
    {
        auto endpoint = ParseEndpoint(at);
        if (!endpoint)
        {
            std::cerr << "aldervale-bench: " << endpoint.error().m_Message << "\n";
            return 2;
        }
        s.m_Routers.push_back(endpoint.value());
    }
    asio::executor_work_guard<asio::io_context::executor_type> work(ioc.get_executor());
    std::vector<std::thread>                                   threads;
    threads.reserve(static_cast<size_t>(s.m_Arguments.m_Threads));
    for (int i = 0; i < s.m_Arguments.m_Threads; i++)
        threads.emplace_back([&] { ioc.run(); });
    std::atomic<int>                paces{0};
    std::atomic<bool>               counted{false};
    std::map<std::string, uint64_t> runs;
    const auto                      pace = [&](double rps, bool greedy, uint64_t seed) -> awaitable<void>
    {
        co_await Pace(ioc, s, rps, greedy, seed);
        paces.fetch_sub(1);
    };
    paces = s.m_Arguments.m_GreedyRps > 0 ? 2 : 1;
    Spawn(ioc, pace(s.m_Arguments.m_Rps, false, s.m_Arguments.m_Seed));
    if (s.m_Arguments.m_GreedyRps > 0)
        Spawn(ioc, pace(s.m_Arguments.m_GreedyRps, true, s.m_Arguments.m_Seed + 1));
    while (paces.load() > 0 || s.m_Open.load() > 0)
        std::this_thread::sleep_for(milliseconds(20));
    const auto count = [&]() -> awaitable<void>
    {
        co_await CountRuns(s, runs);
        counted.store(true);
    };
    Spawn(ioc, count());
    while (!counted.load())
        std::this_thread::sleep_for(milliseconds(10));
    work.reset();
    ioc.stop();
    for (std::thread& t : threads)
        t.join();
    std::cout << json::serialize(Summarize(s, runs)) << "\n";
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    Arguments        a;
    cxxopts::Options options("aldervale-bench", "Open-loop load against routers; prints one JSON object");
    auto             add = options.add_options();
    add("routers", "addresses", cxxopts::value<std::vector<std::string>>(a.m_Routers));
    add("plain", "plain stand-ins to count runs at", cxxopts::value<std::vector<std::string>>(a.m_Plain));
    add("direct", "stand-in for the mix 'direct'", cxxopts::value<std::string>(a.m_Direct));
    add("mix", "chat, loans, turbine, reads, direct", cxxopts::value<std::string>(a.m_Mix));
    add("chat-path", "", cxxopts::value<std::string>(a.m_ChatPath));
    add("keyed-path", "", cxxopts::value<std::string>(a.m_KeyedPath));
    add("read-path", "", cxxopts::value<std::string>(a.m_ReadPath));
    add("accounts", "client accounts", cxxopts::value<std::vector<std::string>>(a.m_Accounts));
    add("greedy", "account that offers more", cxxopts::value<std::string>(a.m_Greedy));
    add("greedy-rps", "what it offers", cxxopts::value<double>(a.m_GreedyRps));
    add("rps", "requests a second", cxxopts::value<double>(a.m_Rps));
    add("seconds", "how long", cxxopts::value<double>(a.m_Seconds));
    add("prefixes", "distinct shared prefixes", cxxopts::value<int>(a.m_Prefixes));
    add("threads", "threads", cxxopts::value<int>(a.m_Threads));
    add("seed", "seed", cxxopts::value<uint64_t>(a.m_Seed));
    add("h,help", "print this page");
    try
    {
        const auto args = options.parse(argc, argv);
        if (args.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
    }
    catch (const std::exception& e)
    {
        std::cerr << "aldervale-bench: " << e.what() << "\n";
        return 2;
    }
    return Run(std::move(a));
}
