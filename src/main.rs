//! The balancer on real sockets.

fn main() -> std::process::ExitCode {
    eprintln!("spindlebeam: serve is not built yet");
    std::process::ExitCode::FAILURE
}
