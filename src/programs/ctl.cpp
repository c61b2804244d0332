// aldervalectl: the operators' tool. One command a call: apply, diff, get, describe, delete, watch, drain, undrain, rollback, report,
// manifest. Talks to any router over HTTP; the token comes from --token-file or the environment variable ALDERVALE_TOKEN.
// Exit codes: 0 done, 1 refused or not reached, 2 bad arguments.
#include "process/burn_report.h"
#include "process/daemon.h"
#include "process/declarations.h"
#include "version/manifest.h"
#include <ctime>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <unistd.h>

using namespace aldervale;

namespace
{

struct Arguments
{
    std::string              m_Command;           //
    std::vector<std::string> m_Rest;              // what follows the command
    std::vector<std::string> m_Routers;           // tried in turn
    std::string              m_Token;             //
    std::string              m_Set;               //
    std::string              m_Format = "text";   //
    std::string              m_Out;               //
    std::string              m_Model   = "model"; //
    std::string              m_Version = "1";     //
    std::string              m_Base;              //
    int64_t                  m_ChunkKib = 256;    //
    int64_t                  m_WaitS    = 120;    // longest --wait and watch
    bool                     m_Prune = false, m_Wait = false, m_DryRun = false;
};

constexpr auto kCallMax = seconds(30);

//-----------------------------------------------------------------------------
// Calls to a router
//-----------------------------------------------------------------------------

Result<json::value> CallRouter(const Arguments& a, std::string method, std::string target, std::string body, HttpFields extra = {})
{
    Error last = MakeError(ErrorCode_Invalid, "no --router given", "router");
    for (const std::string& router : a.m_Routers)
    {
        auto at = ParseEndpoint(router);
        if (!at)
            return at.error();
        HttpRequest req;
        req.m_Method = method;
        req.m_Target = target;
        req.m_Fields = extra;
        req.m_Fields.push_back({"Authorization", "Bearer " + a.m_Token});
        req.m_Body = body;
        asio::io_context                    ioc;
        HttpClient                          client;
        std::optional<Result<HttpResponse>> answer;
        const auto call = [&]() -> awaitable<void> { answer.emplace(co_await client.Call(at.value(), req, Now() + kCallMax)); };
        asio::co_spawn(asio::make_strand(ioc), call, asio::detached);
        ioc.run();
        if (!*answer)
        {
            last = answer->error();
            if (method != "GET" && last.m_Verdict != Verdict_NotRun)
                return last; // it may have been accepted there: don't send it to another router
            continue;
        }
        json::error_code  ec;
        const json::value v = json::parse(answer->value().m_Body, ec);
        if (ec)
            return MakeError(ErrorCode_Corrupt, "router answered no JSON (status " + std::to_string(answer->value().m_Status) + ")");
        if (answer->value().m_Status / 100 == 2)
            return v;
        const json::object& e     = v.at("error").as_object();
        const std::string   field = e.contains("field") ? std::string(e.at("field").as_string()) : "";
        Error               error = MakeError(ErrorCode_Unavailable, std::string(e.at("message").as_string()), field);
        return error;
    }
    return last;
}

int Print(const Error& e)
{
    std::cerr << "aldervalectl: " << (e.m_Field.empty() ? "" : e.m_Field + ": ") << e.m_Message << "\n";
    return 1;
}

//-----------------------------------------------------------------------------
// apply, diff
//-----------------------------------------------------------------------------

void PrintChange(const json::value& w)
{
    const bool deleted = w.as_object().contains("deleted");
    std::cout << (deleted ? "- " : "+ ") << std::string_view(w.at("kind").as_string()) << "/" << std::string_view(w.at("name").as_string());
    if (!deleted)
        std::cout << " " << json::serialize(w.at("spec"));
    std::cout << "\n";
}

int WaitUntilServed(const Arguments& a);

int Apply(const Arguments& a, bool dry_run)
{
    if (a.m_Rest.size() != 1)
        return Print(MakeError(ErrorCode_Invalid, "expected one folder"));
    auto declared = ReadDeclarations(a.m_Rest[0]);
    if (!declared)
        return Print(declared.error());
    json::array resources;
    for (const json::object& o : declared.value())
        resources.push_back(o);
    const std::string set = a.m_Set.empty() ? std::filesystem::path(a.m_Rest[0]).lexically_normal().filename().string() : a.m_Set;
    json::object      body{{"set", set.empty() ? "default" : set}, {"prune", a.m_Prune}, {"dry_run", dry_run}, {"resources", resources}};
    auto              done = CallRouter(a, "POST", "/aldervale/v1/apply", json::serialize(body));
    if (!done)
        return Print(done.error());
    for (const json::value& w : done.value().at("written").as_array())
        PrintChange(w);
    std::cout << (dry_run ? "would change " : "changed ") << done.value().at("written").as_array().size() << " resources at revision "
              << done.value().at("revision").to_number<uint64_t>() << "\n";
    return a.m_Wait && !dry_run ? WaitUntilServed(a) : 0;
}

//-----------------------------------------------------------------------------
// get, describe, watch
//-----------------------------------------------------------------------------

std::string Short(std::string_view digest)
{
    return std::string(digest.substr(0, 12));
}

struct Progress // over all boxes that hold or fetch a version
{
    size_t   m_Boxes    = 0;
    size_t   m_Servable = 0;
    uint64_t m_Have     = 0;
    uint64_t m_Total    = 0;
    uint64_t m_Origin   = 0;
    uint64_t m_Peers    = 0;
    double   m_Seconds  = 0; // longest
};

std::map<std::string, Progress> SumProgress(const json::value& replicas)
{
    std::map<std::string, Progress> out;
    for (const json::value& r : replicas.at("items").as_array())
    {
        for (const json::value& v : r.at("versions").as_array())
        {
            Progress& p = out[std::string(WholeDigest(std::string_view(v.at("digest").as_string())))];
            p.m_Boxes++;
            p.m_Servable += v.at("state").as_string() == "servable" ? 1 : 0;
            p.m_Have += v.at("chunks_have").to_number<uint64_t>();
            p.m_Total += v.at("chunks_total").to_number<uint64_t>();
            p.m_Origin += v.at("bytes_origin").to_number<uint64_t>();
            p.m_Peers += v.at("bytes_peers").to_number<uint64_t>();
            p.m_Seconds = std::max(p.m_Seconds, v.at("seconds").to_number<double>());
        }
    }
    return out;
}

void PrintReplicas(const json::value& v)
{
    std::cout << std::left << std::setw(20) << "box" << std::setw(14) << "data centre" << std::setw(14) << "active" << std::setw(10) << "servable"
              << std::right << std::setw(8) << "running" << std::setw(8) << "queued" << std::setw(12) << "chunks"
              << "\n";
    for (const json::value& r : v.at("items").as_array())
    {
        uint64_t have  = 0;
        uint64_t total = 0;
        for (const json::value& x : r.at("versions").as_array())
        {
            have += x.at("chunks_have").to_number<uint64_t>();
            total += x.at("chunks_total").to_number<uint64_t>();
        }
        std::cout << std::left << std::setw(20) << std::string(r.at("box").as_string()) << std::setw(14)
                  << std::string(r.at("data_centre").as_string()) << std::setw(14) << Short(std::string_view(r.at("active").as_string()))
                  << std::setw(10)
                  << (r.at("versions").as_array().empty() ? "-"
                      : r.at("servable").as_bool()        ? "yes"
                                                          : "no")
                  << std::right << std::setw(8) << r.at("running").to_number<int64_t>() << std::setw(8) << r.at("queued").to_number<int64_t>()
                  << std::setw(12) << (std::to_string(have) + "/" + std::to_string(total)) << "\n";
    }
}

int Get(const Arguments& a)
{
    const std::string what   = a.m_Rest.empty() ? "" : a.m_Rest[0];
    const bool        status = what == "replicas" || what == "usage" || what == "burn";
    const std::string target = status ? "/aldervale/v1/" + what : "/aldervale/v1/resources" + (what.empty() ? "" : "?kind=" + what);
    auto              v      = CallRouter(a, "GET", target, "");
    if (!v)
        return Print(v.error());
    if (a.m_Format == "json" || (status && what != "replicas"))
        std::cout << json::serialize(v.value()) << "\n";
    else if (what == "replicas")
        PrintReplicas(v.value());
    else
        for (const json::value& r : v.value().at("items").as_array())
            std::cout << std::left << std::setw(16) << std::string(r.at("kind").as_string()) << std::setw(28) << std::string(r.at("name").as_string())
                      << "revision " << r.at("revision").to_number<uint64_t>() << "\n";
    return 0;
}

int Describe(const Arguments& a)
{
    if (a.m_Rest.size() != 2)
        return Print(MakeError(ErrorCode_Invalid, "expected KIND NAME"));
    auto v = CallRouter(a, "GET", "/aldervale/v1/resources/" + a.m_Rest[0] + "/" + a.m_Rest[1], "");
    if (!v)
        return Print(v.error());
    std::cout << json::serialize(v.value()) << "\n";
    return 0;
}

void PrintBar(const std::string& digest, const Progress& p)
{
    constexpr size_t kWidth = 30;
    const double     share  = p.m_Total > 0 ? static_cast<double>(p.m_Have) / static_cast<double>(p.m_Total) : 0;
    const size_t     full   = static_cast<size_t>(share * kWidth);
    const double     mib    = static_cast<double>(p.m_Origin + p.m_Peers) / (1024 * 1024);
    const double     rate   = p.m_Seconds > 0 ? mib / p.m_Seconds : 0;
    std::cout << Short(digest) << " [" << std::string(full, '#') << std::string(kWidth - full, '.') << "] " << std::fixed << std::setprecision(0)
              << share * 100 << "%  " << p.m_Servable << "/" << p.m_Boxes << " servable  " << p.m_Have << "/" << p.m_Total << " chunks  " << mib
              << " MiB (origin " << static_cast<double>(p.m_Origin) / (1024 * 1024) << ")  " << rate << " MiB/s";
    if (share > 0 && share < 1)
        std::cout << "  about " << std::setprecision(1) << p.m_Seconds * (1 - share) / share << " s left";
    std::cout << "   ";
}

// Shows each version's way to its boxes until all that hold it serve it, or the time is over.
int Watch(const Arguments& a)
{
    const TimePoint end      = Now() + seconds(a.m_WaitS);
    const bool      terminal = isatty(STDOUT_FILENO) != 0;
    size_t          lines    = 0;
    while (Now() < end)
    {
        auto v = CallRouter(a, "GET", "/aldervale/v1/replicas", "");
        if (!v)
            return Print(v.error());
        if (terminal && lines > 0)
            std::cout << "\x1b[" << lines << "A";
        lines     = 0;
        bool done = true;
        for (const auto& [digest, p] : SumProgress(v.value()))
        {
            PrintBar(digest, p);
            std::cout << "\n";
            lines++;
            done = done && p.m_Have == p.m_Total && p.m_Total > 0;
        }
        std::cout.flush();
        if (done && lines > 0)
            return 0;
        std::this_thread::sleep_for(milliseconds(500));
    }
    return 1;
}

// Every placement's replicas serve their declared version.
int WaitUntilServed(const Arguments& a)
{
    const TimePoint end = Now() + seconds(a.m_WaitS);
    while (Now() < end)
    {
        auto                               placements = CallRouter(a, "GET", "/aldervale/v1/resources", "");
        auto                               replicas   = CallRouter(a, "GET", "/aldervale/v1/replicas", "");
        bool                               done       = placements.has_value() && replicas.has_value();
        std::map<std::string, std::string> digests; // by version name
        if (done)
            for (const json::value& r : placements.value().at("items").as_array())
                if (r.at("kind").as_string() == "Version")
                    digests[std::string(r.at("name").as_string())] = std::string(r.at("spec").at("manifest").as_string());
        for (const json::value& r : done ? placements.value().at("items").as_array() : json::array())
        {
            if (r.at("kind").as_string() != "Placement")
                continue;
            const std::string  digest = digests[std::string(r.at("spec").at("version").as_string())];
            size_t             wanted = 0;
            size_t             served = 0;
            const json::value* per    = r.at("spec").as_object().if_contains("boxes_per_replica");
            for (const auto& n : r.at("spec").at("replicas").as_object())
                wanted += n.value().to_number<size_t>() * (per != nullptr ? per->to_number<size_t>() : 1);
            for (const json::value& x : replicas.value().at("items").as_array())
                served += x.at("servable").as_bool() && WholeDigest(std::string_view(x.at("active").as_string())) == digest ? 1 : 0;
            done = done && served >= wanted;
        }
        if (done)
        {
            std::cout << "all placements serve their declared versions\n";
            return 0;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return Print(MakeError(ErrorCode_Timeout, "not all replicas serve their declared version yet; see aldervalectl watch"));
}

//-----------------------------------------------------------------------------
// drain, rollback, report, manifest
//-----------------------------------------------------------------------------

int Drain(const Arguments& a)
{
    if (a.m_Rest.size() != 1)
        return Print(MakeError(ErrorCode_Invalid, "expected one box"));
    auto v = CallRouter(a, "POST", "/aldervale/v1/boxes/" + a.m_Rest[0] + "/" + a.m_Command, "");
    if (!v)
        return Print(v.error());
    std::cout << a.m_Command << "ed " << a.m_Rest[0] << " at revision " << v.value().at("revision").to_number<uint64_t>() << "\n";
    return 0;
}

int Delete(const Arguments& a)
{
    if (a.m_Rest.size() != 2)
        return Print(MakeError(ErrorCode_Invalid, "expected KIND NAME"));
    auto v = CallRouter(a, "DELETE", "/aldervale/v1/resources/" + a.m_Rest[0] + "/" + a.m_Rest[1], "");
    if (!v)
        return Print(v.error());
    std::cout << "deleted at revision " << v.value().at("revision").to_number<uint64_t>() << "\n";
    return 0;
}

// Puts a placement back on another declared version, against the revision that was read: an operator who raced it wins nothing silently.
int Rollback(const Arguments& a)
{
    if (a.m_Rest.size() != 2)
        return Print(MakeError(ErrorCode_Invalid, "expected PLACEMENT VERSION"));
    const std::string target = "/aldervale/v1/resources/Placement/" + a.m_Rest[0];
    auto              v      = CallRouter(a, "GET", target, "");
    if (!v)
        return Print(v.error());
    json::object spec = v.value().at("spec").as_object();
    spec["version"]   = a.m_Rest[1];
    const HttpFields match{{"If-Match", std::to_string(v.value().at("revision").to_number<uint64_t>())}};
    auto             done = CallRouter(a, "PUT", target, json::serialize(json::object{{"spec", spec}}), match);
    if (!done)
        return Print(done.error());
    std::cout << "placement " << a.m_Rest[0] << " declares version " << a.m_Rest[1] << " at revision "
              << done.value().at("revision").to_number<uint64_t>() << "\n";
    return a.m_Wait ? WaitUntilServed(a) : 0;
}

int Report(const Arguments& a)
{
    if (a.m_Rest.size() != 1 || a.m_Rest[0] != "burn")
        return Print(MakeError(ErrorCode_Invalid, "expected: report burn"));
    auto v = CallRouter(a, "GET", "/aldervale/v1/burn", "");
    if (!v)
        return Print(v.error());
    const std::time_t now = std::time(nullptr);
    char              made_at[64];
    std::strftime(made_at, sizeof(made_at), "%Y-%m-%d %H:%M:%S UTC", std::gmtime(&now));
    const std::string text = a.m_Format == "json"   ? json::serialize(v.value()) + "\n"
                             : a.m_Format == "html" ? BurnHtml(v.value(), made_at)
                                                    : BurnText(v.value());
    if (a.m_Out.empty())
        std::cout << text;
    else
        std::ofstream(a.m_Out) << text;
    return 0;
}

Result<std::string> ReadFile(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return MakeError(ErrorCode_Invalid, "can't be read", path);
    return std::string(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
}

// Cuts files into chunks, writes OUT/DIGEST/manifest.json and copies the files beside it, and prints the digest to declare.
int MakeManifestFolder(const Arguments& a)
{
    if (a.m_Rest.empty() || a.m_Out.empty())
        return Print(MakeError(ErrorCode_Invalid, "expected files and --out FOLDER"));
    std::vector<std::string>   bytes;
    std::vector<ManifestInput> shards;
    for (const std::string& path : a.m_Rest)
    {
        auto text = ReadFile(path);
        if (!text)
            return Print(text.error());
        if (text.value().empty())
            return Print(MakeError(ErrorCode_Invalid, "is empty", path));
        bytes.push_back(std::move(text.value()));
    }
    for (size_t i = 0; i < bytes.size(); i++)
        shards.push_back(
            {std::filesystem::path(a.m_Rest[i]).filename().string(), std::span(reinterpret_cast<const uint8_t*>(bytes[i].data()), bytes[i].size())});
    const std::string manifest = MakeManifest(a.m_Model, a.m_Version, a.m_Base, static_cast<uint64_t>(a.m_ChunkKib) * 1024, shards);
    const auto        checked  = ParseManifest(manifest, "");
    if (!checked)
        return Print(checked.error());
    const std::string folder = a.m_Out + "/" + checked.value()->m_Digest;
    std::error_code   ec;
    std::filesystem::create_directories(folder, ec);
    std::ofstream(folder + "/manifest.json", std::ios::binary) << manifest;
    for (size_t i = 0; i < bytes.size(); i++)
        std::ofstream(folder + "/" + shards[i].m_Name, std::ios::binary) << bytes[i];
    if (ec || !std::filesystem::exists(folder + "/manifest.json"))
        return Print(MakeError(ErrorCode_Unavailable, "can't be written", folder));
    std::cout << checked.value()->m_Digest << "\n";
    return 0;
}

int Run(const Arguments& a)
{
    if (a.m_Command == "apply")
        return Apply(a, a.m_DryRun);
    if (a.m_Command == "diff")
        return Apply(a, true);
    if (a.m_Command == "get")
        return Get(a);
    if (a.m_Command == "describe")
        return Describe(a);
    if (a.m_Command == "delete")
        return Delete(a);
    if (a.m_Command == "watch")
        return Watch(a);
    if (a.m_Command == "drain" || a.m_Command == "undrain")
        return Drain(a);
    if (a.m_Command == "rollback")
        return Rollback(a);
    if (a.m_Command == "report")
        return Report(a);
    if (a.m_Command == "manifest")
        return MakeManifestFolder(a);
    std::cerr << "aldervalectl: unknown command '" << a.m_Command << "'; see --help\n";
    return 2;
}

cxxopts::Options DescribeOptions(Arguments& a)
{
    cxxopts::Options options("aldervalectl", "Operators' tool.\n\n"
                                             "  apply DIR [--prune] [--wait]   make the declarations of DIR (TOML) true\n"
                                             "  diff DIR                       what apply would change\n"
                                             "  get [KIND|replicas|usage|burn] list\n"
                                             "  describe KIND NAME             one resource with its revision and author\n"
                                             "  delete KIND NAME\n"
                                             "  watch                          versions on their way, as live bars\n"
                                             "  drain BOX, undrain BOX         no new work for a box, and back\n"
                                             "  rollback PLACEMENT VERSION     declare another version\n"
                                             "  report burn [--format html]    service-level burn\n"
                                             "  manifest FILES --out DIR       cut weight files into chunks\n");
    auto             add = options.add_options();
    add("command", "command", cxxopts::value<std::string>(a.m_Command));
    add("rest", "its arguments", cxxopts::value<std::vector<std::string>>(a.m_Rest));
    add("router", "IP:PORT of a router; several are tried in turn", cxxopts::value<std::vector<std::string>>(a.m_Routers));
    add("token-file", "file with the operator token", cxxopts::value<std::string>());
    add("set", "name of the declaration set; default: the folder's name", cxxopts::value<std::string>(a.m_Set));
    add("prune", "delete what the set owned and no longer declares", cxxopts::value<bool>(a.m_Prune));
    add("wait", "wait until every replica serves its declared version", cxxopts::value<bool>(a.m_Wait));
    add("dry-run", "check and show only", cxxopts::value<bool>(a.m_DryRun));
    add("timeout", "longest --wait or watch, seconds", cxxopts::value<int64_t>(a.m_WaitS));
    add("format", "text, json or html", cxxopts::value<std::string>(a.m_Format));
    add("out", "file or folder to write", cxxopts::value<std::string>(a.m_Out));
    add("model", "manifest: model name", cxxopts::value<std::string>(a.m_Model));
    add("model-version", "manifest: version name", cxxopts::value<std::string>(a.m_Version));
    add("base", "manifest: digest that an adapter goes on", cxxopts::value<std::string>(a.m_Base));
    add("chunk-kib", "manifest: chunk size, KiB", cxxopts::value<int64_t>(a.m_ChunkKib));
    add("version", "print the version");
    add("h,help", "print this page");
    options.parse_positional({"command", "rest"});
    options.positional_help("COMMAND [ARGUMENTS]");
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    Arguments a;
    try
    {
        cxxopts::Options options = DescribeOptions(a);
        const auto       args    = options.parse(argc, argv);
        if (args.count("help") > 0 || a.m_Command.empty())
        {
            std::cout << (args.count("version") > 0 ? "aldervalectl " + std::string(kVersion) + "\n" : options.help());
            return a.m_Command.empty() && args.count("help") == 0 && args.count("version") == 0 ? 2 : 0;
        }
        const char* token = std::getenv("ALDERVALE_TOKEN");
        a.m_Token         = token != nullptr ? token : "";
        if (args.count("token-file") > 0)
        {
            auto text = ReadFile(args["token-file"].as<std::string>());
            if (!text)
                return Print(text.error());
            a.m_Token = text.value().substr(0, text.value().find_first_of("\r\n"));
        }
    }
    catch (const std::exception& e)
    {
        std::cerr << "aldervalectl: " << e.what() << "\n";
        return 2;
    }
    return Run(a);
}
