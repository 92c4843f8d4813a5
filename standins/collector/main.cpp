/// @file
/// @brief Trace collector stand-in; runs until SIGINT or SIGTERM.
#include "collector_service.hpp"

#include <Poco/Exception.h>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdio>
#include <pthread.h>
#include <string>

int main(int ArgumentCount, char **Arguments) {
  try {
    TCLAP::CmdLine Line(
        "Stand-in for a trace collector (OTLP over HTTP with JSON)");
    TCLAP::ValueArg<std::string> Listen("l", "listen",
                                        "IP number and port to listen on",
                                        false, "127.0.0.1:4318", "ip:port");
    Line.add(Listen);
    Line.parse(ArgumentCount, Arguments);

    // Blocked before the service starts its threads: they inherit the mask, so
    // only sigwait receives these signals.
    sigset_t Signals;
    sigemptyset(&Signals);
    sigaddset(&Signals, SIGINT);
    sigaddset(&Signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &Signals, nullptr);

    hyssopford::standin::CollectorService Service(Listen.getValue());
    fmt::print(stderr, "event=collector_listening port={}\n", Service.port());
    int Received = 0;
    sigwait(&Signals, &Received);
    return 0;
  } catch (const TCLAP::ArgException &Failure) {
    fmt::print(stderr, "event=collector_arguments reason=\"{}\"\n",
               Failure.error());
  } catch (const Poco::Exception &Failure) {
    fmt::print(stderr, "event=collector_failed reason=\"{}\"\n",
               Failure.displayText());
  }
  return 1;
}
