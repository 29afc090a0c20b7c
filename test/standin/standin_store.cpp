// The stand-in for the platform's key-value store and instance list. Runs until
// it gets SIGINT or SIGTERM.

#include "standin/store_server.hpp"

#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdint>
#include <exception>
#include <iostream>
#include <string>

int main(int argc, char** argv)
{
    try
    {
        TCLAP::CmdLine line("Stand-in for the key-value store and the "
                            "instance list of the platform");
        const TCLAP::ValueArg<std::string> address(
            "", "address", "IP address to listen on", false, "127.0.0.1", "IP",
            line);
        const TCLAP::ValueArg<std::uint16_t> port(
            "", "port", "TCP port to listen on; 0 takes a free one", true, 0,
            "PORT", line);
        line.parse(argc, argv);

        // Blocked before the server starts its threads, which inherit this.
        sigset_t stops;
        sigemptyset(&stops);
        sigaddset(&stops, SIGINT);
        sigaddset(&stops, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &stops, nullptr);

        const parsleyplank::standin::store_server server(address.getValue(),
                                                         port.getValue());
        std::cout << "listening on " << address.getValue() << ":"
                  << server.port() << std::endl;
        int signal = 0;
        sigwait(&stops, &signal);
        return 0;
    }
    catch (const TCLAP::ArgException& ec)
    {
        std::cerr << ec.argId() << ": " << ec.error() << "\n";
    }
    catch (const std::exception& ec)
    {
        std::cerr << "standin-store: " << ec.what() << "\n";
    }
    return 1;
}
