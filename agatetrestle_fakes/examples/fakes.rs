//! Runs fakes of the backend servers in `examples/three-nodes/declarations` on their declared ports.
//!
//! The optional argument is the delay between tokens in milliseconds.

use std::rc::Rc;
use std::time::Duration;

use agatetrestle_fakes::Engine;
use agatetrestle_fakes::EngineConfig;
use agatetrestle_fakes::Service;
use agatetrestle_fakes::Tool;
use smol::LocalExecutor;

const ENGINES: [u16; 2] = [9001, 9002];
const ROTA: u16 = 9011;
const PLAIN_SERVICES: [u16; 2] = [9012, 9021];
const TOOL_PAUSE: Duration = Duration::from_millis(80);

const MAX_ANSWER_TOKENS: u64 = 100;

fn main() -> std::io::Result<()> {
    let millis = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(20);
    let token_delay = Duration::from_millis(millis);
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.run(async {
        let mut engines = Vec::new();
        for port in ENGINES {
            let config = EngineConfig {
                port,
                output_tokens: MAX_ANSWER_TOKENS,
                token_delay,
                ..EngineConfig::default()
            };
            engines.push(Engine::start(&executor, config).await?);
        }
        let rota = Tool::start_at(&executor, ROTA, TOOL_PAUSE).await?;
        let mut services = Vec::new();
        for port in PLAIN_SERVICES {
            services.push(Service::start_at(&executor, port).await?);
        }
        println!("engines on {ENGINES:?}, rota on {}, services on {PLAIN_SERVICES:?}", rota.address.port());
        std::future::pending().await
    }))
}
