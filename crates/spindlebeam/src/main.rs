//! The command line of the balancer.

use anyhow::{Context, Result, bail};
use gateway::setup::Bounds;
use pico_args::Arguments;
use spindlebeam::config;
use spindlebeam::fleet_thread;
use spindlebeam::serve;
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "\
spindlebeam: a balancer in front of cache nodes and their origin

usage: spindlebeam COMMAND

  serve          run the balancer until SIGTERM; SIGHUP rereads the configuration
  check-config   read the configuration and say whether it can be used
  version        print the version
  help           print this

  --config FILE  the configuration of serve and check-config; $PROXY_CONFIG if not given
  --fleet FILE   the balancers that agree with this one (deploy/fleet.toml); none if not given
  --fleet-listen ADDR  where their datagrams are received, if not at the address in that file
  --keep FOLDER  where the council's log and the ledger are kept, if there is a disk that lasts

The log goes to standard error; RUST_LOG sets its level (info if not set).";

fn main() -> ExitCode {
    let level = env_logger::Env::default().default_filter_or("info");
    // Grace periods are fractions of a second: timestamps in whole seconds would not order the lines.
    env_logger::Builder::from_env(level).format_timestamp_millis().init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("spindlebeam: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// The options of the command line.
struct Options {
    /// The value of `--config`.
    config: Option<PathBuf>,
    /// The values of `--fleet`, `--fleet-listen` and `--keep`.
    fleet: fleet_thread::Options,
}

fn run() -> Result<()> {
    let mut args = Arguments::from_env();
    let help = args.contains(["-h", "--help"]);
    let command = args.subcommand()?;
    let options = parse_options(&mut args)?;
    if let Some(word) = args.finish().first() {
        bail!("unknown argument {word:?}; try `spindlebeam help`");
    }
    match command.as_deref() {
        _ if help => println!("{HELP}"),
        Some("help") => println!("{HELP}"),
        Some("version") => println!("spindlebeam {}", env!("CARGO_PKG_VERSION")),
        Some("serve") => serve::serve(&config_path(options.config)?, &options.fleet)?,
        Some("check-config") => check_config(options)?,
        Some(other) => bail!("unknown command {other:?}; try `spindlebeam help`"),
        None => bail!("no command; try `spindlebeam help`"),
    }
    Ok(())
}

fn parse_options(args: &mut Arguments) -> Result<Options> {
    let config = args.opt_value_from_str("--config")?;
    let fleet = fleet_thread::Options {
        file: args.opt_value_from_str("--fleet")?,
        listen: args.opt_value_from_str("--fleet-listen")?,
        keep: args.opt_value_from_str("--keep")?,
    };
    Ok(Options { config, fleet })
}

/// Reads the configuration and prints a summary of it.
fn check_config(options: Options) -> Result<()> {
    let config = config::read(&config_path(options.config)?)?;
    let (classes, tenants) = (config.names.classes.len(), config.names.tenants.len());
    println!("{}: usable; {classes} classes, {tenants} tenants, {}", config.name, describe(&config.bounds));
    match config.inherited_descriptor {
        Some(number) => println!("clients: the socket inherited as descriptor {number}"),
        None => println!("clients: {}", config.listen_address),
    }
    match config.admin_address {
        Some(addr) => println!("operators: {addr}"),
        None => println!("operators: nowhere"),
    }
    if let Some(file) = &options.fleet.file {
        println!("{}", fleet_thread::describe(file, &config.name)?);
    }
    Ok(())
}

/// Formats the limits for `check-config`. The output is fixed and does not depend on the names of the fields.
fn describe(bounds: &Bounds) -> String {
    format!(
        "Bounds {{ clients: {}, peers: {}, held_bytes: {}, open: {}, answer_bytes: {}, dial: {:?}, idle: {:?}, \
         longest: {:?}, shortest: {:?} }}",
        bounds.clients,
        bounds.peers,
        bounds.held_bytes,
        bounds.open,
        bounds.answer_bytes,
        bounds.dial,
        bounds.idle,
        bounds.longest,
        bounds.shortest,
    )
}

/// Returns the path of the configuration file: `--config`, or `$PROXY_CONFIG` if the option is not given.
fn config_path(option: Option<PathBuf>) -> Result<PathBuf> {
    let from_environment = || std::env::var_os("PROXY_CONFIG").map(PathBuf::from);
    option.or_else(from_environment).context("no configuration: give --config or set PROXY_CONFIG")
}
