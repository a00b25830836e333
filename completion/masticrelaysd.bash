# Bash completion for masticrelaysd. Source it, or install it as
# masticrelaysd in the directory of bash-completion.

_masticrelaysd()
{
    local cur=${COMP_WORDS[COMP_CWORD]}
    local prev=${COMP_WORDS[COMP_CWORD - 1]}

    if [ "$prev" = --log-level ]; then
        mapfile -t COMPREPLY < <(compgen -W "debug info warning error" -- "$cur")
        return
    fi
    if [ "$prev" = --share-connections ]; then
        mapfile -t COMPREPLY < <(compgen -W "auto on off" -- "$cur")
        return
    fi
    mapfile -t COMPREPLY < <(compgen -W "--name --data-centre --listen --ready
        --peer --store --duty --grace-s --apply-ms --memory-mb --share-connections --log-level --check --help" -- "$cur")
}

complete -F _masticrelaysd masticrelaysd
