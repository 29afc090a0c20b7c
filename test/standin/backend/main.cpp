// standin-backend: a backend server for tests and demonstrations, with switches
// for faults. Ends on SIGINT or SIGTERM.

#include "standin/backend/backend_server.hpp"

#include <tclap/CmdLine.h>
#include <tclap/HelpVisitor.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <string>

int main(int argc, char** argv)
{
    try
    {
        // Without TCLAP's own --version, which is the server's version here.
        TCLAP::CmdLine line("Stand-in backend server", ' ', "", false);
        auto* output = line.getOutput();
        TCLAP::HelpVisitor show_help(&line, &output);
        const TCLAP::SwitchArg help("h", "help", "prints this text", line,
                                    false, &show_help);
        const TCLAP::ValueArg<std::string> address(
            "", "address", "IPv4 address to listen on", false, "127.0.0.1",
            "address", line);
        const TCLAP::ValueArg<int> port("", "port", "TCP port, 0 for any",
                                        false, 0, "port", line);
        const TCLAP::ValueArg<std::string> server(
            "", "server", "server id", false, "server-1", "id", line);
        const TCLAP::ValueArg<std::string> version("", "version", "version id",
                                                   false, "v1", "id", line);
        const TCLAP::ValueArg<int> slots(
            "", "slots", "requests served at a time", false, 4, "n", line);
        line.parse(argc, argv);

        // Blocked before any thread starts, so that only sigwait gets them.
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);

        const parsleyplank::test::backend_server backend(
            {address.getValue(), static_cast<std::uint16_t>(port.getValue()),
             server.getValue(), version.getValue(), slots.getValue()});
        std::cout << "listening on " << address.getValue() << ':'
                  << backend.port() << std::endl;
        int number = 0;
        sigwait(&signals, &number);
        return 0;
    }
    catch (const TCLAP::ArgException& ec)
    {
        std::cerr << "standin-backend: " << ec.argId() << ": " << ec.error()
                  << std::endl;
        return 2;
    }
    catch (const std::exception& ec)
    {
        std::cerr << "standin-backend: " << ec.what() << std::endl;
        return 1;
    }
}
