//! Generates the traces with which routing policies are compared. The same arguments always
//! generate the same trace.

use std::fmt::Write as _;
use std::io::{self, Write as _};
use std::process::ExitCode;

use anyhow::{Context, Result, bail, ensure};
use blake3::OutputReader;
use lexopt::prelude::*;
use yuccacove::routing::{START_DECODE_TOKENS_PER_S, START_PREFILL_TOKENS_PER_S};

const HELP: &str = "\
yucca-trace: generates a trace of Hallgren's requests for a small fleet

usage: yucca-trace --kind KIND [--seconds N] [--engines N] [--seed N]

  --kind KIND    steady, swing, fast_swing, flood_background or flood_urgent
  --seconds N    length of the trace (90)
  --engines N    engines of the fleet; the load is proportional to them (4)
  --seed N       seed of the random numbers (1)
  -h, --help     print this text
";

/// Load outside a flood, in engine-seconds per second and per engine.
const UTILISATION: f64 = 0.85;
/// Share of the load that is urgent; the rest is background.
const URGENT_SHARE: f64 = 0.5;
/// Load of a flood (an overload with requests of one rank), as a multiple of the capacity of the
/// engines.
const FLOOD_FACTOR: f64 = 10.0;
/// Start and end of a flood, as fractions of the length of the trace.
const FLOOD_SPAN: (f64, f64) = (0.25, 0.75);
/// Share of prefill in the work of a steady load.
const STEADY_PREFILL_SHARE: f64 = 0.3;
/// Shares of prefill between which the load of a swing alternates.
const SWING_PREFILL_SHARES: (f64, f64) = (0.1, 0.6);
/// Time that a swing stays at each share, in seconds. A full period is one minute.
const SWING_S: f64 = 30.0;
/// Time that a fast swing stays at each share, in seconds; shorter than a role change takes.
const FAST_SWING_S: f64 = 5.0;
/// Rates of orders and reads at the ordering service.
const ORDERS_PER_S: f64 = 2.0;
const READS_PER_S: f64 = 2.0;
/// Number of shared prefixes of the short prompts.
const PREFIXES: u64 = 8;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Kind {
    Steady,
    Swing,
    FastSwing,
    FloodBackground,
    FloodUrgent,
}

/// Size of a chat request.
#[derive(Debug, Clone, Copy)]
struct RequestSize {
    prompt_tokens: usize,
    output_tokens: usize,
}

impl RequestSize {
    /// Engine-seconds of prefill.
    fn prefill_s(self) -> f64 {
        self.prompt_tokens as f64 / START_PREFILL_TOKENS_PER_S
    }

    /// Engine-seconds of prefill and decode.
    fn work_s(self) -> f64 {
        self.prefill_s() + self.output_tokens as f64 / START_DECODE_TOKENS_PER_S
    }

    /// Share of prefill in the work.
    fn prefill_share(self) -> f64 {
        self.prefill_s() / self.work_s()
    }
}

/// Urgent questions that are answered in a few sentences, and those answered by yes or no.
const URGENT: [RequestSize; 2] = [
    RequestSize {
        prompt_tokens: 120,
        output_tokens: 120,
    },
    RequestSize {
        prompt_tokens: 2_400,
        output_tokens: 1,
    },
];
/// Background requests: plans with a long answer, and reviews of long drawings with a short one.
const BACKGROUND: [RequestSize; 2] = [
    RequestSize {
        prompt_tokens: 300,
        output_tokens: 250,
    },
    RequestSize {
        prompt_tokens: 4_000,
        output_tokens: 24,
    },
];

/// Generator of uniform random numbers.
struct RandomNumbers(OutputReader);

impl RandomNumbers {
    /// The next random number, at least 0 and below 1.
    fn next_unit(&mut self) -> f64 {
        let mut bytes = [0; 8];
        self.0.fill(&mut bytes);
        (u64::from_le_bytes(bytes) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Random time to the next arrival of a Poisson process with rate `per_s`.
    fn gap_s(&mut self, per_s: f64) -> f64 {
        -(1.0 - self.next_unit()).ln() / per_s
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yucca-trace: {error:#}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<()> {
    let (mut kind, mut seconds, mut engines, mut seed) = (None, 90_u64, 4_u64, 1_u64);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("kind") => kind = Some(parser.value()?.parse_with(parse_kind)?),
            Long("seconds") => seconds = parser.value()?.parse()?,
            Long("engines") => engines = parser.value()?.parse()?,
            Long("seed") => seed = parser.value()?.parse()?,
            Short('h') | Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            _ => return Err(argument.unexpected().into()),
        }
    }
    let kind = kind.context("--kind KIND is missing")?;
    ensure!(
        seconds > 0 && engines > 0,
        "expected at least one second and one engine"
    );
    let text = generate(kind, seconds as f64, engines as f64, seed);
    io::stdout().write_all(text.as_bytes())?;
    Ok(())
}

fn parse_kind(text: &str) -> Result<Kind> {
    Ok(match text {
        "steady" => Kind::Steady,
        "swing" => Kind::Swing,
        "fast_swing" => Kind::FastSwing,
        "flood_background" => Kind::FloodBackground,
        "flood_urgent" => Kind::FloodUrgent,
        _ => bail!("expected steady, swing, fast_swing, flood_background or flood_urgent"),
    })
}

fn generate(kind: Kind, seconds: f64, engines: f64, seed: u64) -> String {
    let seeded = |name: &str| {
        let hash = blake3::Hasher::new()
            .update(&seed.to_le_bytes())
            .update(name.as_bytes())
            .finalize_xof();
        RandomNumbers(hash)
    };
    let mut rows = String::new();
    let work = UTILISATION * engines;
    for (entry, sizes, work) in [
        ("quote-questions", URGENT, work * URGENT_SHARE),
        ("drawing-reviews", BACKGROUND, work * (1.0 - URGENT_SHARE)),
    ] {
        // Requests of each size arrive at the rate that would make up the whole load, and each is
        // kept with a probability equal to its size's share of the work at that time. The total
        // load is therefore constant in a swing.
        for (index, size) in sizes.into_iter().enumerate() {
            let mut random = seeded(&format!("{entry}/{index}"));
            let max_per_s = work / size.work_s();
            let mut at_s = random.gap_s(max_per_s);
            while at_s < seconds {
                let probability = (prefill_share_at(kind, at_s) - sizes[0].prefill_share())
                    / (sizes[1].prefill_share() - sizes[0].prefill_share());
                let probability = probability.clamp(0.0, 1.0);
                let probability = if index == 0 {
                    1.0 - probability
                } else {
                    probability
                };
                if random.next_unit() < probability {
                    write_chat(&mut rows, at_s, entry, size, &mut random);
                }
                at_s += random.gap_s(max_per_s);
            }
        }
    }
    let flood = match kind {
        Kind::FloodBackground => Some(("drawing-reviews", BACKGROUND[0])),
        Kind::FloodUrgent => Some(("quote-questions", URGENT[0])),
        Kind::Steady | Kind::Swing | Kind::FastSwing => None,
    };
    if let Some((entry, size)) = flood {
        let mut random = seeded("flood");
        let per_s = FLOOD_FACTOR * engines / size.work_s();
        let (start, end) = (FLOOD_SPAN.0 * seconds, FLOOD_SPAN.1 * seconds);
        let mut at_s = start + random.gap_s(per_s);
        while at_s < end {
            write_chat(&mut rows, at_s, entry, size, &mut random);
            at_s += random.gap_s(per_s);
        }
    }
    for (entry, per_s) in [
        ("order-confirmations", ORDERS_PER_S),
        ("stock-reads", READS_PER_S),
    ] {
        let mut random = seeded(entry);
        let mut at_s = random.gap_s(per_s);
        while at_s < seconds {
            let at_ms = (at_s * 1_000.0) as u64;
            let _ = writeln!(rows, r#"{{"at_ms":{at_ms},"entry":"{entry}"}}"#);
            at_s += random.gap_s(per_s);
        }
    }
    rows
}

fn prefill_share_at(kind: Kind, at_s: f64) -> f64 {
    let swing = |half_period_s: f64| {
        // The share changes abruptly, which is harder to adapt to than a gradual change.
        match (at_s / half_period_s) as u64 % 2 {
            0 => SWING_PREFILL_SHARES.0,
            _ => SWING_PREFILL_SHARES.1,
        }
    };
    match kind {
        Kind::Steady | Kind::FloodBackground | Kind::FloodUrgent => STEADY_PREFILL_SHARE,
        Kind::Swing => swing(SWING_S),
        Kind::FastSwing => swing(FAST_SWING_S),
    }
}

fn write_chat(
    rows: &mut String,
    at_s: f64,
    entry: &str,
    size: RequestSize,
    random: &mut RandomNumbers,
) {
    let RequestSize {
        prompt_tokens,
        output_tokens,
    } = size;
    let at_ms = (at_s * 1_000.0) as u64;
    let prefix = (random.next_unit() * PREFIXES as f64) as u64;
    // Each long prompt is a separate document without a shared prefix.
    let prefix = match prompt_tokens < 1_000 {
        true => format!(r#","prefix":"p{prefix}""#),
        false => String::new(),
    };
    let _ = writeln!(
        rows,
        r#"{{"at_ms":{at_ms},"entry":"{entry}","prompt_tokens":{prompt_tokens},"output_tokens":{output_tokens}{prefix}}}"#
    );
}
