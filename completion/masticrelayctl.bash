# Bash completion for masticrelayctl. Source it, or install it as
# masticrelayctl in the directory of bash-completion.

_masticrelayctl()
{
    local cur prev words cword
    cur=${COMP_WORDS[COMP_CWORD]}
    prev=${COMP_WORDS[COMP_CWORD - 1]}
    local common="--platform --admin --operator-credential --approver-key
        --approver-public-key --admin-authorities --operator --timeout-ms --json --help"
    local commands="check diff propose approve veto accept key target approver
        status groups accounts instances audit explain"
    local command="" second="" word i skip=""

    COMPREPLY=()
    case $prev in
    --approver-key | --admin-authorities | --file)
        mapfile -t COMPREPLY < <(compgen -f -- "$cur")
        return
        ;;
    --platform | --admin | --operator-credential | --operator | --timeout-ms | \
        --approver-public-key | --without | --wait-ms | --limit | --reason)
        return
        ;;
    esac

    # The command is the first word that is neither an option nor an option's
    # value.
    for ((i = 1; i < COMP_CWORD; i++)); do
        word=${COMP_WORDS[i]}
        if [ -n "$skip" ]; then
            skip=""
            continue
        fi
        case $word in
        --json | --help | --yes | --undo | --next-version) ;;
        --*=*) ;;
        --*) skip=1 ;;
        *)
            if [ -z "$command" ]; then
                command=$word
            elif [ -z "$second" ]; then
                second=$word
            fi
            ;;
        esac
    done

    if [ -z "$command" ]; then
        mapfile -t COMPREPLY < <(compgen -W "$common $commands" -- "$cur")
        return
    fi
    case "$command $second" in
    "key ")
        mapfile -t COMPREPLY < <(compgen -W "issue withdraw" -- "$cur")
        return
        ;;
    "target ")
        mapfile -t COMPREPLY < <(compgen -W "leave" -- "$cur")
        return
        ;;
    "approver ")
        mapfile -t COMPREPLY < <(compgen -W "create" -- "$cur")
        return
        ;;
    esac

    local own=""
    case $command in
    propose) own="--next-version" ;;
    approve) own="--yes" ;;
    veto) own="--yes --reason" ;;
    accept) own="--without --wait-ms" ;;
    key) own="--file" ;;
    target) own="--file --undo" ;;
    audit) own="--limit" ;;
    esac
    if [[ $cur == -* ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$common $own" -- "$cur")
        return
    fi
    case $command in
    check | propose)
        mapfile -t COMPREPLY < <(compgen -f -- "$cur")
        ;;
    diff)
        mapfile -t COMPREPLY < <(compgen -f -W "head staged empty" -- "$cur")
        ;;
    approver | explain)
        mapfile -t COMPREPLY < <(compgen -f -- "$cur")
        ;;
    esac
}

complete -o filenames -F _masticrelayctl masticrelayctl
