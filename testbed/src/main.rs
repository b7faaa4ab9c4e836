//! The fleet testbed's commands.

#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use fleet_testbed::compare;
use fleet_testbed::overhead;
use fleet_testbed::report::Report;
use fleet_testbed::rt::Loop;
use fleet_testbed::run::{self, Options, default_program};
use fleet_testbed::scale::{self, ScaleExperiment};
use fleet_testbed::soak::plan::{Plan, Spec};
use fleet_testbed::soak::{play, shrink};
use fleet_testbed::spec::{Experiment, setting};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Maximum number of broken rules printed per run, besides the last one.
const MAX_VIOLATIONS_SHOWN: usize = 12;
/// The experiment of the demo.
const DEMO: &str = include_str!("../experiments/demo.toml");

/// Runs experiments on fleets of real proxies among emulated backends and clients.
///
/// Exit codes: 0 success; 1 a violation, or a bound was exceeded; 2 bad arguments or file, or the fleet could
/// not be started; 3 the testbed itself was too late for its figures to be trusted; 130 interrupted.
#[derive(Parser)]
#[command(name = "fleet-testbed", version, about, long_about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs an experiment once: `fleet-testbed run testbed/experiments/crash20.toml --seed 3 --out out/crash20`.
    Run {
        /// The experiment file.
        file: String,
        /// The seed of all random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The directory for report.json, summary.txt and the plots.
        #[arg(long)]
        out: Option<PathBuf>,
        /// The program (default: `linkhatch-proxy` beside this one).
        #[arg(long)]
        proxy_binary: Option<PathBuf>,
        /// Overrides of keys in the file, `key=value`, such as `load.rate=200`.
        #[arg(long)]
        set: Vec<String>,
    },
    /// Runs two builds in turn on the same seeds and prints the differences.
    Compare {
        /// The experiment file.
        file: String,
        /// The first build.
        #[arg(long)]
        a: PathBuf,
        /// The second build.
        #[arg(long)]
        b: PathBuf,
        /// The range of seeds, `from..to`, both included.
        #[arg(long, default_value = "1..5")]
        seeds: String,
        /// Overrides of keys in the file, for both builds.
        #[arg(long)]
        set: Vec<String>,
        /// Overrides for the second build only, such as `proxies.dealer="random"` for a baseline.
        #[arg(long)]
        set_b: Vec<String>,
    },
    /// Runs an experiment once for each value of a key.
    Sweep {
        /// The experiment file.
        file: String,
        /// The key and its values, such as `load.rate=100,200,400`.
        #[arg(long)]
        set: String,
        /// The seed of all random choices.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The program (default: `linkhatch-proxy` beside this one).
        #[arg(long)]
        proxy_binary: Option<PathBuf>,
    },
    /// Measures the latency that one proxy, or a chain of them, adds to calls of backends that answer at once.
    Overhead {
        /// The number of proxies in the chain that a call passes through.
        #[arg(long, default_value_t = 1)]
        depth: usize,
        /// Calls per second; the rates are measured one after another.
        #[arg(long, value_delimiter = ',', default_value = "20,192,1000")]
        rates: Vec<f64>,
        /// Seconds of load on each side (direct, through) at each rate.
        #[arg(long, default_value_t = 60.0)]
        seconds: f64,
        /// Seconds per block; blocks of both sides alternate.
        #[arg(long, default_value_t = 5.0)]
        block: f64,
        /// The seed of the due times.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The directory for overhead.json, overhead.txt and the plot.
        #[arg(long)]
        out: Option<PathBuf>,
        /// The program (default: `linkhatch-proxy` beside this one).
        #[arg(long)]
        proxy_binary: Option<PathBuf>,
    },
    /// Runs the list service with hollow proxies and backends at several sizes, and fits each figure over the size.
    Scale {
        /// The experiment file.
        file: String,
        /// The directory for the report, the plot and the result of each size.
        #[arg(long, default_value = "target/scale")]
        out: PathBuf,
        /// The program (default: `linkhatch-proxy` beside this one).
        #[arg(long)]
        proxy_binary: Option<PathBuf>,
        /// Overrides of keys in the file, `key=value`, such as `sizes=[100, 300]`.
        #[arg(long)]
        set: Vec<String>,
    },
    /// Runs one size, in the process that `scale` starts for it.
    #[command(hide = true)]
    ScaleSize {
        /// The experiment file.
        file: String,
        /// The size.
        #[arg(long)]
        size: usize,
        /// The file for the result.
        #[arg(long)]
        result: PathBuf,
        /// The program.
        #[arg(long)]
        proxy_binary: PathBuf,
        /// Overrides of keys in the file, `key=value`.
        #[arg(long)]
        set: Vec<String>,
    },
    /// Applies random faults to real proxies, and checks what clients, backends and discovery observed.
    Soak {
        /// The file with the bounds that plans are drawn from.
        file: String,
        /// The seed of the first plan.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The number of plans to run, with consecutive seeds.
        #[arg(long, default_value_t = 1)]
        runs: u64,
        /// Runs this plan, written by an earlier run, instead.
        #[arg(long)]
        replay: Option<PathBuf>,
        /// Does not shrink plans that fail.
        #[arg(long)]
        no_shrink: bool,
        /// The directory for plans that fail.
        #[arg(long, default_value = "target/soak")]
        out: PathBuf,
        /// The program (default: `linkhatch-proxy` beside this one).
        #[arg(long)]
        proxy_binary: Option<PathBuf>,
    },
    /// Runs 3 list-service nodes, 8 proxies and 12 backends for 20 s with a crash and a partition.
    Demo {
        /// The directory for the report and the plots.
        #[arg(long, default_value = "target/demo")]
        out: PathBuf,
        /// The program (default: `linkhatch-proxy` beside this one).
        #[arg(long)]
        proxy_binary: Option<PathBuf>,
    },
}

/// The exit code of a command, or the message of its error.
type CommandResult = Result<u8, String>;

fn main() -> ExitCode {
    let stop = Arc::new(AtomicBool::new(false));
    let stop_signal = stop.clone();
    Loop::shared().spawn(move || async move {
        while tokio::signal::ctrl_c().await.is_ok() {
            stop_signal.store(true, Ordering::SeqCst);
        }
    });
    let result = match Cli::parse().command {
        Command::Run { file, seed, out, proxy_binary, set } => {
            read_experiment(&file, &set).and_then(|e| run_once(&e, options(proxy_binary, seed, out, &stop)))
        }
        Command::Compare { file, a, b, seeds, set, set_b } => {
            compare_two(&file, [a, b], &seeds, &set, &set_b, &stop)
        }
        Command::Sweep { file, set, seed, proxy_binary } => {
            sweep(&file, &set, options(proxy_binary, seed, None, &stop))
        }
        Command::Overhead { depth, rates, seconds, block, seed, out, proxy_binary } => {
            measure_overhead(overhead::Options {
                program: proxy_binary.unwrap_or_else(default_program),
                depth,
                rates,
                seconds,
                block_seconds: block,
                seed,
                out,
                stop: stop.clone(),
            })
        }
        Command::Scale { file, out, proxy_binary, set } => measure_scale(scale::Options {
            file,
            set,
            program: proxy_binary.unwrap_or_else(default_program),
            out,
            stop: stop.clone(),
        }),
        Command::ScaleSize { file, size, result, proxy_binary, set } => {
            run_size(&file, &set, size, &proxy_binary, &result, &stop)
        }
        Command::Soak { file, seed, runs, replay, no_shrink, out, proxy_binary } => {
            let program = proxy_binary.unwrap_or_else(default_program);
            soak(&SoakOptions { file, seed, runs, replay, shrink_failures: !no_shrink, out, program }, &stop)
        }
        Command::Demo { out, proxy_binary } => demo(options(proxy_binary, 1, Some(out), &stop)),
    };
    match result {
        Ok(code) => ExitCode::from(if stop.load(Ordering::SeqCst) { 130 } else { code }),
        Err(message) => {
            eprintln!("fleet-testbed: {message}");
            ExitCode::from(2)
        }
    }
}

fn options(program: Option<PathBuf>, seed: u64, out: Option<PathBuf>, stop: &Arc<AtomicBool>) -> Options {
    let progress = std::io::stderr().is_terminal();
    Options { program: program.unwrap_or_else(default_program), seed, out, progress, stop: stop.clone() }
}

fn read_experiment(file: &str, set: &[String]) -> Result<Experiment, String> {
    let set = set.iter().map(|s| setting(s)).collect::<Result<Vec<_>, _>>()?;
    Experiment::read(file, &set).map_err(|e| e.to_string())
}

fn exit_code(report: &Report) -> u8 {
    match (report.violations_count, report.testbed.trusted) {
        (0, true) => 0,
        (0, false) => 3,
        _ => 1,
    }
}

fn run_once(experiment: &Experiment, options: Options) -> CommandResult {
    let report = run::run(experiment, &options).map_err(|e| e.to_string())?;
    print!("{}", report.text());
    if let Some(out) = &options.out {
        println!("  report and plots: {}", out.display());
    }
    Ok(exit_code(&report))
}

fn seeds(text: &str) -> Result<std::ops::RangeInclusive<u64>, String> {
    let bad = || format!("seeds {text}: expected from..to");
    let (from, to) = text.split_once("..").ok_or_else(bad)?;
    let (from, to) =
        (from.parse().map_err(|_| bad())?, to.trim_start_matches('=').parse().map_err(|_| bad())?);
    if from > to { Err(bad()) } else { Ok(from..=to) }
}

fn compare_two(
    file: &str,
    programs: [PathBuf; 2],
    range: &str,
    set: &[String],
    set_b: &[String],
    stop: &Arc<AtomicBool>,
) -> CommandResult {
    let both = [set.to_vec(), [set, set_b].concat()];
    let experiments = [read_experiment(file, &both[0])?, read_experiment(file, &both[1])?];
    let (mut reports, mut worst) = ([Vec::new(), Vec::new()], 0);
    for seed in seeds(range)? {
        for (n, program) in programs.iter().enumerate() {
            let options = options(Some(program.clone()), seed, None, stop);
            let report = run::run(&experiments[n], &options).map_err(|e| e.to_string())?;
            if report.partial {
                return Ok(1);
            }
            eprint!("{} {}", ["A", "B"][n], report.text());
            worst = worst.max(exit_code(&report));
            reports[n].push(report);
        }
    }
    println!("A: {}\nB: {}", programs[0].display(), programs[1].display());
    print!("{}", compare::table(&reports[0], &reports[1]));
    Ok(worst)
}

fn sweep(file: &str, set: &str, options: Options) -> CommandResult {
    let (key, values) = set.split_once('=').ok_or_else(|| format!("{set}: expected key=v1,v2,v3"))?;
    let mut worst = 0;
    for value in values.split(',') {
        let experiment = read_experiment(file, &[format!("{key}={value}")])?;
        println!("{key} = {value}");
        worst = worst.max(run_once(&experiment, options.clone())?);
        if options.stop.load(Ordering::SeqCst) {
            break;
        }
    }
    Ok(worst)
}

fn measure_overhead(options: overhead::Options) -> CommandResult {
    let report = overhead::run(&options).map_err(|e| e.to_string())?;
    print!("{}", report.text());
    Ok(if report.trusted { 0 } else { 3 })
}

fn read_scale(file: &str, set: &[String]) -> Result<ScaleExperiment, String> {
    let set = set.iter().map(|s| setting(s)).collect::<Result<Vec<_>, _>>()?;
    ScaleExperiment::read(file, &set).map_err(|e| e.to_string())
}

fn measure_scale(options: scale::Options) -> CommandResult {
    let experiment = read_scale(&options.file, &options.set)?;
    let report = scale::run(&experiment, &options).map_err(|e| e.to_string())?;
    print!("{}", report.text());
    println!("report and plot: {}", options.out.display());
    Ok(match (report.complete, report.sizes.iter().all(|size| size.trusted)) {
        (true, true) => 0,
        (true, false) => 3,
        (false, _) => 1,
    })
}

fn run_size(
    file: &str,
    set: &[String],
    size: usize,
    program: &Path,
    result: &Path,
    stop: &AtomicBool,
) -> CommandResult {
    let experiment = read_scale(file, set)?;
    let size_result = scale::run_size(&experiment, size, program, stop).map_err(|e| e.to_string())?;
    let json = serde_json::to_string_pretty(&size_result).map_err(|e| e.to_string())?;
    std::fs::write(result, json).map_err(|e| format!("{}: {e}", result.display()))?;
    // Ending the process ends the hollow proxies and backends; they need not be stopped one by one.
    std::process::exit(0)
}

/// The options of the `soak` command.
struct SoakOptions {
    file: String,
    seed: u64,
    runs: u64,
    replay: Option<PathBuf>,
    shrink_failures: bool,
    out: PathBuf,
    program: PathBuf,
}

/// Runs one plan or several; the exit code is 1 if any failed.
fn soak(options: &SoakOptions, stop: &AtomicBool) -> CommandResult {
    let read = |path: &Path| std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()));
    std::fs::create_dir_all(&options.out).map_err(|e| format!("{}: {e}", options.out.display()))?;
    let plans: Vec<Plan> = match &options.replay {
        Some(path) => vec![toml::from_str(&read(path)?).map_err(|e| e.to_string())?],
        None => {
            let spec: Spec = toml::from_str(&read(Path::new(&options.file))?).map_err(|e| e.to_string())?;
            (0..options.runs).map(|n| Plan::draw(&spec, options.seed + n)).collect()
        }
    };
    let mut failed = 0;
    for plan in &plans {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let result = play::run_plan(plan, &options.program)?;
        println!(
            "seed {}: {} faults, {} attempts, {} served, {} rejected, {} sent after SIGTERM, {} of {} kB, {} of {} \
             descriptors, {} broken rules",
            plan.seed,
            plan.faults.len(),
            result.requests,
            result.served,
            result.refused,
            result.sent_after_sigterm,
            result.resources.memory_kb,
            plan.limits.memory_mb << 10,
            result.resources.descriptors,
            plan.limits.sockets,
            result.violations.len()
        );
        // The first broken rules, and the last one, which may summarize them.
        let shown = result.violations.iter().take(MAX_VIOLATIONS_SHOWN);
        for broken in shown.chain(result.violations.iter().skip(MAX_VIOLATIONS_SHOWN).last()) {
            println!("  {}: {}", broken.rule, broken.description);
        }
        if result.violations.is_empty() {
            continue;
        }
        failed += 1;
        let path = options.out.join(format!("seed-{}.toml", plan.seed));
        let saved = if options.shrink_failures && options.replay.is_none() {
            shrunk(plan, options)
        } else {
            plan.clone()
        };
        play::save(&saved, &path)?;
        println!("  plan: {} with {} faults", path.display(), saved.faults.len());
    }
    println!("{failed} of {} plans failed", plans.len());
    Ok(u8::from(failed > 0))
}

/// Returns a smaller plan that still fails.
fn shrunk(plan: &Plan, options: &SoakOptions) -> Plan {
    shrink::shrink(plan, |shorter| {
        play::run_plan(shorter, &options.program).is_ok_and(|result| !result.violations.is_empty())
    })
}

fn demo(options: Options) -> CommandResult {
    let experiment: Experiment = toml::from_str(DEMO).map_err(|e| e.to_string())?;
    println!("{}", experiment.about);
    let out = options.out.clone();
    let report = run::run(&experiment, &options).map_err(|e| e.to_string())?;
    print!("{}", report.text());
    let verdict = |ok: bool| if ok { "passed" } else { "FAILED" };
    println!("every request had exactly one end: {}", verdict(report.total.requests.lost == 0));
    println!("there was no violation: {}", verdict(report.violations_count == 0));
    println!("served in time, by priority weight: {:.1}%", 100.0 * report.total.priority_weight.share);
    if let Some(out) = out {
        println!("plots: {}/requests.svg and load.svg", out.display());
    }
    Ok(exit_code(&report))
}
